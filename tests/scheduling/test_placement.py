"""The choice of a request's server by load reports."""

from __future__ import annotations

import random

import pytest

from burdockgap.scheduling import placement
from burdockgap.scheduling.candidate import Candidate
from tests.scheduling.choices import CurrentChoice
from tests.scheduling.site import Site

pytestmark = pytest.mark.anyio

MANY_SMALL = {"servers": 40, "slots": 3, "work_s": (0.04, 0.18)}
FEW_LARGE = {"servers": 3, "slots": 9, "work_s": (0.06, 0.31)}
SHORT_WORK = {"servers": 5, "slots": 6, "work_s": (0.001, 0.003)}


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_candidate(name="m1", **fields):
    """Return a candidate with defaults for omitted fields."""
    defaults = {"work": 0, "slots": 3, "service_s": 0.1}
    return Candidate(name, **{**defaults, **fields})


def draw(candidates, *, retry=False, count=2000):
    """Return how often each candidate is chosen, as shares."""
    rng = random.Random(1)
    names = [
        placement.choose(candidates, rng, retry=retry).name
        for _ in range(count)
    ]
    return {item.name: names.count(item.name) / count for item in candidates}


# Otherwise the next attempt is refused again by the same server.
async def test_server_that_refused_is_skipped_until_it_has_room():
    full = make_candidate("full", full_s=0.05)
    assert draw([full, make_candidate("free", work=2)])["full"] == 0


async def test_only_server_is_chosen_even_if_it_refused():
    assert draw([make_candidate("full", full_s=0.05)])["full"] == 1


# A further attempt that is drawn like the first is often refused again.
async def test_further_attempt_goes_where_room_is_known():
    candidates = [make_candidate(f"full{n}", work=3) for n in range(20)]
    candidates.append(make_candidate("free"))
    assert draw(candidates, retry=True)["free"] == 1


# A restarted server whose time was assumed got no requests.
@pytest.mark.parametrize("service_s", [0.002, 0.1, 1.0])
async def test_unknown_server_gets_the_share_of_a_mean_one(service_s):
    known = [make_candidate(f"m{n}", service_s=service_s) for n in range(4)]
    shares = draw([*known, make_candidate("new", service_s=0.0)])
    assert shares["new"] == pytest.approx(0.2, abs=0.04)


async def test_idle_servers_are_chosen_in_proportion_to_their_speed():
    slow = make_candidate("slow", service_s=0.2)
    shares = draw([slow, make_candidate("fast", service_s=0.05)])
    assert shares["fast"] == pytest.approx(0.8, abs=0.04)


# All daemons would follow the same old report.
async def test_old_report_counts_less_than_a_new_one():
    def share_of_idle(age_s):
        busy = make_candidate("busy", work=5, mean_work=1.5, age_s=age_s)
        idle = make_candidate("idle", work=0, mean_work=1.5, age_s=age_s)
        return draw([busy, idle])["idle"]

    assert share_of_idle(0.0) > share_of_idle(0.1) + 0.05
    assert share_of_idle(2.0) == pytest.approx(0.5, abs=0.04)


async def test_own_calls_that_no_report_includes_count():
    sent = make_candidate("sent", own_calls=4)
    assert draw([sent, make_candidate("other")])["sent"] < 0.4


# A server that all daemons skip or overrun is refused more often.
@pytest.mark.parametrize(
    ("kind", "seconds"), [(MANY_SMALL, 60), (FEW_LARGE, 60), (SHORT_WORK, 20)]
)
async def test_servers_get_what_their_speed_deserves(kind, seconds):
    site = Site(CurrentChoice, contended=0.0, daemons=20, **kind)
    site.run(10)
    site.reset()
    site.run(seconds)
    shares = site.shares().values()
    assert min(shares) >= 0.8
    assert max(shares) <= 1.25


async def test_restarted_server_gets_requests_within_two_seconds():
    site = Site(
        CurrentChoice, servers=10, slots=3, work_s=(0.008, 0.012), contended=0
    )
    site.run(5)
    site.servers["m0"].restart()
    site.reset()
    site.run(2)
    assert site.shares()["m0"] >= 0.5
    site.reset()
    site.run(3)
    assert site.shares()["m0"] >= 0.8
