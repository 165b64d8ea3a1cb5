"""The choice of a target for a request with a long body."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from burdockgap.fleet.roster import Roster
from burdockgap.forward.chooser import Chooser
from burdockgap.forward.load import Load
from burdockgap.routing.route import Route
from burdockgap.shards.control_view import ControlView
from tests.shards.builders import SERVICE, make_member

pytestmark = pytest.mark.anyio

LONG_BYTES = 60_000
DRAWS = 400
ROUTE = Route(
    name="r",
    host="a",
    prefix="/",
    idempotent=False,
    large=False,
    timeout_s=2.0,
    objective_s=1.0,
    max_attempts=2,
    priority=1,
    weighted_services=[(SERVICE, 1.0)],
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class NoDocuments:
    """No data centre is out of service."""

    data_centres_out = frozenset()


def make_load(downlink_s):
    return Load(slots=4, service_s=0.1, downlink_s=downlink_s)


def draw(roster, body_bytes):
    """Return how often each member is chosen."""
    chooser = Chooser(
        roster=roster,
        documents=NoDocuments(),
        view=ControlView(lambda: None),
        rng=random.Random(1),
    )
    return Counter(
        chooser.best(SERVICE, ROUTE, set(), body_bytes).name
        for _ in range(DRAWS)
    )


@pytest.fixture
async def roster():
    roster = Roster(
        make_member("own", load=make_load(1.0)), lambda _event, _fields: None
    )
    for name, downlink_s in (("full", 1.0), ("free", 0.0)):
        roster.record_announcement(
            make_member(name, load=make_load(downlink_s))
        )
    return roster


# At a full link a body would wait or be refused.
async def test_long_body_is_sent_where_the_link_has_room(roster):
    chosen = draw(roster, LONG_BYTES)
    assert chosen["full"] < DRAWS / 100
    # The own target is reached without the link.
    assert chosen["own"] > DRAWS / 4


async def test_short_request_is_sent_to_a_machine_with_a_full_link(roster):
    assert draw(roster, 100)["full"] > DRAWS / 4
