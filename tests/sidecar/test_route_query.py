"""Where a request would go, as a daemon explains it."""

from __future__ import annotations

import json

import pytest

from burdockgap.forward.chooser import Chooser
from burdockgap.forward.load import Load
from burdockgap.http1.request import Request
from burdockgap.platform.documents import PlatformDocuments
from burdockgap.routing.documents import Documents
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.shard import Shard
from burdockgap.sidecar.route_query import RouteQuery
from standins.sidecar.documents import (
    make_account,
    make_config,
    make_limits,
    make_route,
    make_service,
    make_site_config,
)
from tests.fleet.test_roster import make_roster
from tests.shards.builders import make_member

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class QueryHarness:
    """A query over two members of a service."""

    def __init__(self):
        self.documents = Documents(
            PlatformDocuments(),
            on_change=lambda: None,
            on_event=lambda _event, _fields: None,
        )
        self.view = ControlView(lambda: None)
        self.roster = make_roster()
        for name, service_s in (("slow", 0.2), ("quick", 0.05)):
            member = make_member(name, service="dispatch")
            member.load = Load(service_s=service_s, slots=2)
            self.roster.record_announcement(member)
        self.roster.record_announcement(
            make_member("owner", service="records")
        )
        self.query = RouteQuery(
            documents=self.documents,
            roster=self.roster,
            view=self.view,
            chooser=Chooser(
                roster=self.roster, documents=self.documents, view=self.view
            ),
        )

    def configure(self):
        self.documents.replace({"config": make_site_config()}, (1, 1), "test")

    def get(self, target, headers=()):
        response = self.query.answer(
            Request(method="GET", target=target, headers=[*headers], body=b"")
        )
        return response.status, json.loads(response.body)


async def test_without_configuration():
    status, found = QueryHarness().get("/route?host=a.example&path=/crew/1")
    assert (status, found["refused"]) == (200, 503)


async def test_unknown_route():
    harness = QueryHarness()
    harness.configure()
    _, found = harness.get("/route?host=a.example&path=/none/")
    assert found["refused"] == 404


async def test_quickest_candidate_is_the_choice():
    harness = QueryHarness()
    harness.configure()
    _, found = harness.get("/route?host=a.example&path=/crew/1")
    (service,) = found["services"]
    assert service["choice"] == "quick"
    assert [item["member"] for item in service["candidates"]] == [
        "quick",
        "slow",
    ]


async def test_owner_of_a_key_is_the_choice():
    harness = QueryHarness()
    harness.configure()
    state = ControlState(
        shards={"records": [Shard(0, 65535, owner="owner", fence=7)]}
    )
    harness.view.adopt(state)
    _, found = harness.get("/route?host=a.example&path=/read/1&key=5")
    (service,) = found["services"]
    assert (service["choice"], service["fence"]) == ("owner", 7)


# A query of an operator must not move load.
async def test_query_changes_nothing_that_a_choice_depends_on():
    harness = QueryHarness()
    harness.configure()
    entry = harness.roster.entry("quick")
    before = entry.load.encode()
    answers = [
        harness.get("/route?host=a.example&path=/crew/1")[1]["services"][0][
            "candidates"
        ][0]["expected_ms"]
        for _ in range(5)
    ]
    assert len(set(answers)) == 1
    assert entry.load.encode() == before


# A key must not be printed, whether it is known or not.
async def test_account_is_named_without_its_key():
    harness = QueryHarness()
    config = make_config(
        make_route("crew", "dispatch"),
        make_service("dispatch"),
        make_account("acme", "k-secret", priority=0),
        make_limits(),
    )
    harness.documents.replace({"config": config}, (1, 1), "test")
    target = "/route?host=a.example&path=/crew/1"
    _, found = harness.get(target, [("authorization", "Bearer k-secret")])
    assert (found["account"], found["priority"]) == ("acme", 0)
    assert "k-secret" not in json.dumps(found)
    _, refused = harness.get(target, [("authorization", "Bearer k-other")])
    assert refused["refused"] == 401
    assert "k-other" not in json.dumps(refused)
    _, refused = harness.get(target)
    assert refused["refused"] == 401


@pytest.mark.parametrize(
    "target",
    [
        "/route",
        "/route?host=a&host=b&path=/",
        "/route?host=a&path=/&key=65536",
        "/route?host=a&path=/&key=x",
    ],
)
async def test_bad_parameters_are_refused(target):
    status, found = QueryHarness().get(target)
    assert status == 400
    assert found["error"]
