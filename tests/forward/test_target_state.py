"""The target's state as derived from its announcements."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.target_notice import TargetNotice
from burdockgap.forward.token_bucket import TokenBucket
from tests.forward.builders import GateHarness
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"born": 999, "sequence": 99}, id="earlier-life"),
        pytest.param({"sequence": 5}, id="same-announcement"),
        pytest.param({"sequence": 4, "draining": True}, id="overtaken"),
    ],
)
async def test_outdated_announcement_changes_nothing(fields):
    harness = GateHarness()
    assert harness.state.announced(make_info(sequence=5))
    assert not harness.state.announced(make_info(**fields))
    assert harness.state.takes_work


async def test_announcement_of_a_new_process_resets_the_state():
    harness = GateHarness()
    harness.state.announced(make_info(sequence=9, draining=True))
    assert harness.state.announced(make_info(born=2000, sequence=1))
    assert harness.state.takes_work


async def test_draining_is_not_revoked():
    harness = GateHarness()
    harness.state.announced(make_info(sequence=1, draining=True))
    harness.state.announced(make_info(sequence=2))
    assert not harness.state.takes_work


async def test_leaving_of_another_id_is_ignored():
    harness = GateHarness()
    harness.state.announced(make_info())
    harness.state.leaving("i-9")
    assert harness.state.takes_work


async def test_silent_target_with_work_is_down_but_not_ended():
    harness = GateHarness()
    harness.state.announced(make_info())
    harness.state._announced_at -= 5
    harness.state.check_silence(0)
    assert harness.state.up
    harness.state.check_silence(1)
    assert not harness.state.up
    assert not harness.state.ended


async def test_refused_connection_of_an_earlier_process_is_ignored():
    harness = GateHarness()
    harness.state.announced(make_info(born=2000))
    harness.state.refused_connection(1000)
    assert harness.state.up


@pytest.mark.parametrize("rate", [5.0, 20.0, 100.0])
def test_token_bucket_limits_any_second(rate):
    bucket, taken, now = TokenBucket(rate=rate, now=0.0), [], 0.0
    while now < 3.0:
        if bucket.take(now):
            taken.append(now)
        now += 0.001
    for start in taken:
        within = [at for at in taken if start <= at < start + 1]
        assert len(within) <= rate * 1.1 + 2


async def test_drain_deadline_counts_from_the_first_notice():
    harness = GateHarness(drain_s=1.0)
    now = asyncio.get_running_loop().time()
    harness.state.announced(make_info(draining=True))
    first = harness.state.drain_deadline
    assert first == pytest.approx(now + 1.0, abs=0.1)
    harness.state.leaving("i-1")
    assert harness.state.drain_deadline == first


async def test_slowness_excludes_the_permanent_speed_of_the_machine():
    harness = GateHarness()
    state = harness.state
    for _ in range(400):
        state.note_success(0.06, 0.6)
    assert state.service_s == pytest.approx(0.06, rel=0.05)
    assert state.slowness == pytest.approx(1.0)
    state.note_success(0.18, 1.8)
    assert state.slowness == pytest.approx(3.0, rel=0.1)
    assert state.service_s == pytest.approx(0.06, rel=0.1)


async def test_leaving_in_a_response_is_not_revoked_by_an_announcement():
    harness = GateHarness()
    harness.state.announced(make_info(sequence=1))
    harness.state.note_notice(TargetNotice(leaving=True), 1000)
    drain_deadline = harness.state.drain_deadline
    harness.state.announced(make_info(sequence=2))
    harness.state.note_notice(TargetNotice(), 1000)
    assert not harness.state.takes_work
    assert harness.state.drain_deadline == drain_deadline
    harness.state.announced(make_info(born=2000, sequence=1))
    assert harness.state.takes_work


async def test_leaving_known_to_a_caller_counts_from_its_first_response():
    harness = GateHarness(drain_s=2.0)
    harness.state.announced(make_info())
    notice = KnownNotice(born=1000, leaving_s=0.5).aged(1.0)
    harness.state.adopt_notice(notice)
    now = asyncio.get_running_loop().time()
    assert harness.state.drain_deadline == pytest.approx(now + 0.5, abs=0.05)
