"""Valid and invalid heartbeats, and readiness checks."""

from __future__ import annotations

import json

import pytest

from burdockgap.http1.request import Request
from burdockgap.platform.announcements import ControlApi

pytestmark = pytest.mark.anyio

HEARTBEAT = {
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


class RecordingApi:
    def __init__(self):
        self.infos, self.left, self.events = [], [], []
        self.ready = self.durable = True
        self.control_api = ControlApi(
            on_heartbeat=self.infos.append,
            on_target_left=self.left.append,
            confirm_departures=self._confirm,
            is_ready=lambda: self.ready,
            on_event=lambda event, fields: self.events.append((event, fields)),
        )

    async def _confirm(self):
        return self.durable

    async def send(self, method, target, body=b""):
        req = Request(method=method, target=target, headers=[], body=body)
        return await self.control_api.answer_control(req)


async def test_valid_heartbeat_is_passed_on():
    recorder = RecordingApi()
    answer = await recorder.send(
        "PUT", "/api/instances/i-1", json.dumps(HEARTBEAT).encode()
    )
    assert answer.status == 200
    (info,) = recorder.infos
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
        pytest.param({"cold-remaining": "1e999s"}, id="cold-endless"),
        pytest.param({"cold-remaining": "nans"}, id="cold-nan"),
        pytest.param({"cold-remaining": "-5s"}, id="cold-negative"),
        pytest.param({"cold-remaining": "1e300s"}, id="cold-too-long"),
        pytest.param({"address": "10.0.0.9:99999"}, id="port-too-large"),
        pytest.param({"address": "10.0.0.9:0"}, id="port-zero"),
        pytest.param({"address": "10.0.0.9:\u00b2"}, id="port-superscript"),
        pytest.param({"address": "10.0.0.9:" + "9" * 5000}, id="port-long"),
        pytest.param({"address": ":8080"}, id="no-host"),
        pytest.param({"address": "\ud800:8080"}, id="host-surrogate"),
        pytest.param({"slots": 10**30}, id="slots-too-many"),
        pytest.param({"born": 10**30}, id="born-too-large"),
        pytest.param({"born": -1}, id="born-negative"),
        pytest.param({"sequence": 10**30}, id="sequence-too-large"),
        pytest.param({"sequence": None}, id="no-sequence"),
    ],
)
async def test_heartbeat_with_invalid_field_is_refused(change):
    recorder = RecordingApi()
    body = json.dumps({**HEARTBEAT, **change}).encode()
    answer = await recorder.send("PUT", "/api/instances/i-1", body)
    assert answer.status == 400
    assert not recorder.infos
    assert recorder.events[0][1]["why"]


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"\xff{", id="bytes"),
        pytest.param(b"[]", id="list"),
        pytest.param(b"[" * 100_000, id="deeply-nested"),
        pytest.param(b'{"slots":' * 100_000, id="deeply-nested-objects"),
        pytest.param(b'{"slots":' + b"9" * 5000 + b"}", id="long-number"),
    ],
)
async def test_heartbeat_without_json_object_is_refused(body):
    recorder = RecordingApi()
    answer = await recorder.send("PUT", "/api/instances/i-1", body)
    assert answer.status == 400


async def test_deregistration_is_acknowledged():
    recorder = RecordingApi()
    answer = await recorder.send("DELETE", "/api/instances/i-1")
    assert answer.status == 200
    assert recorder.left == ["i-1"]


# DRAIN: a departure that was acknowledged without being durable was
# forgotten when all daemons were lost.
@pytest.mark.parametrize(
    ("method", "change"),
    [
        pytest.param("DELETE", {}, id="deregistration"),
        pytest.param("PUT", {"state": "draining"}, id="draining"),
    ],
)
async def test_departure_is_acknowledged_only_when_durable(method, change):
    recorder = RecordingApi()
    recorder.durable = False
    body = json.dumps({**HEARTBEAT, **change}).encode()
    answer = await recorder.send(method, "/api/instances/i-1", body)
    assert answer.status == 503
    assert recorder.infos or recorder.left == ["i-1"]


@pytest.mark.parametrize(
    ("ready", "target", "status"),
    [
        pytest.param(True, "/api/readiness", 200, id="ready"),
        pytest.param(False, "/api/readiness", 503, id="not-ready"),
        pytest.param(True, "/other", 404, id="other-path"),
    ],
)
async def test_readiness(ready, target, status):
    recorder = RecordingApi()
    recorder.ready = ready
    req = Request(method="GET", target=target, headers=[])
    answer = await recorder.control_api.answer_readiness(req)
    assert answer.status == status
