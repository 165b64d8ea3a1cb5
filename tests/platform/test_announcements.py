"""Heartbeats, well and badly formed."""

from __future__ import annotations

import json

import pytest

from burdockgap.http1.request import Request
from burdockgap.platform.announcements import ControlSurface

pytestmark = pytest.mark.anyio

BEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "brno-sever",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining": "1500ms",
    "sequence": 4,
    "born": 1700000000000,
}


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World:
    def __init__(self):
        self.infos, self.left, self.events = [], [], []
        self.ready = True
        self.surface = ControlSurface(
            announced=self.infos.append,
            left=self.left.append,
            is_ready=lambda: self.ready,
            on_event=lambda event, fields: self.events.append((event, fields)),
        )

    async def send(self, method, target, body=b""):
        req = Request(method=method, target=target, headers=[], body=body)
        return await self.surface.answer_control(req)


async def test_heartbeat_is_read():
    world = World()
    answer = await world.send(
        "PUT", "/api/instances/i-1", json.dumps(BEAT).encode()
    )
    assert answer.status == 200
    (info,) = world.infos
    assert info.target_id == "i-1"
    assert info.address == ("10.128.0.9", 8080)
    assert (info.slots, info.sequence, info.draining) == (9, 4, False)
    assert info.cold_s == 1.5


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"state": "sleepy"}, id="unknown-state"),
        pytest.param({"slots": "many"}, id="slots-text"),
        pytest.param({"slots": 0}, id="no-slots"),
        pytest.param({"born": 1.5}, id="born-fraction"),
        pytest.param({"born": True}, id="born-bool"),
        pytest.param({"address": "nowhere"}, id="no-port"),
        pytest.param({"cold-remaining": 5}, id="cold-number"),
        pytest.param({"sequence": None}, id="no-sequence"),
    ],
)
async def test_heartbeat_unusable_names_no_target(change):
    world = World()
    body = json.dumps({**BEAT, **change}).encode()
    answer = await world.send("PUT", "/api/instances/i-1", body)
    assert answer.status == 400
    assert not world.infos
    assert world.events[0][1]["why"]


@pytest.mark.parametrize(
    "body",
    [pytest.param(b"\xff{", id="bytes"), pytest.param(b"[]", id="list")],
)
async def test_heartbeat_garbage_names_no_target(body):
    world = World()
    answer = await world.send("PUT", "/api/instances/i-1", body)
    assert answer.status == 400


async def test_leaving_is_acknowledged():
    world = World()
    answer = await world.send("DELETE", "/api/instances/i-1")
    assert answer.status == 200
    assert world.left == ["i-1"]


@pytest.mark.parametrize(
    ("ready", "target", "status"),
    [
        pytest.param(True, "/api/readiness", 200, id="ready"),
        pytest.param(False, "/api/readiness", 503, id="not-ready"),
        pytest.param(True, "/other", 404, id="other-path"),
    ],
)
async def test_readiness(ready, target, status):
    world = World()
    world.ready = ready
    req = Request(method="GET", target=target, headers=[])
    answer = await world.surface.answer_readiness(req)
    assert answer.status == status
