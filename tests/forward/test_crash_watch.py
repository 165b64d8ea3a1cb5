"""Requests that crash targets."""

from __future__ import annotations

import pytest

from burdockgap.verdict import Reason, Refusal
from tests.forward.builders import GateHarness, make_call
from tests.gate.fakes import FakeClock

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def crash(harness, call, born):
    harness.crashes.connection_lost(call, born)
    harness.crashes.target_ended(born)


async def test_request_is_refused_after_two_crashes():
    harness, call = GateHarness(), make_call()
    crash(harness, call, 1)
    harness.crashes.check(call)
    crash(harness, call, 2)
    again = make_call(request_id="r2")
    with pytest.raises(Refusal) as caught:
        harness.crashes.check(again)
    assert caught.value.reason is Reason.QUARANTINED


async def test_other_daemons_refuse_it_too():
    harness, other, call = GateHarness(), GateHarness(), make_call()
    crash(harness, call, 1)
    crash(harness, call, 2)
    other.suspects.merge(harness.announced[-1])
    with pytest.raises(Refusal):
        other.crashes.check(call)


async def test_answered_request_is_not_blamed():
    harness, call = GateHarness(), make_call()
    crash(harness, call, 1)
    harness.crashes.answered(call)
    crash(harness, call, 2)
    harness.crashes.check(call)


async def test_lost_connection_alone_is_no_crash():
    harness, call = GateHarness(), make_call()
    for _ in range(3):
        harness.crashes.connection_lost(call, 1)
    harness.crashes.check(call)
    assert not harness.announced


# BUDGET: an end that was detected late was blamed on nothing.
async def test_late_detection_of_a_crash_counts():
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        harness.crashes.connection_lost(call, born)
        clock.seconds += 30
        harness.crashes.target_ended(born)
    with pytest.raises(Refusal):
        harness.crashes.check(call)


@pytest.mark.parametrize("sign", ["announced", "responded"])
async def test_target_that_lived_on_is_not_blamed_on_a_request(sign):
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        harness.crashes.connection_lost(call, born)
        clock.seconds += 1
        if sign == "announced":
            harness.crashes.target_announced(born)
        else:
            harness.crashes.target_responded(born, 0.5, connected_s=2.0)
        clock.seconds += 1
        harness.crashes.target_ended(born)
    harness.crashes.check(call)


# The heartbeat of a process that has crashed may arrive afterwards.
@pytest.mark.parametrize("sign", ["announced", "responded"])
async def test_earlier_sign_of_life_does_not_count(sign):
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        harness.crashes.connection_lost(call, born)
        clock.seconds += 0.2
        if sign == "announced":
            harness.crashes.target_announced(born)
        else:
            harness.crashes.target_responded(born, 0.5, connected_s=2.0)
        clock.seconds += 3
        harness.crashes.target_ended(born)
    with pytest.raises(Refusal):
        harness.crashes.check(call)


# BUDGET: the next process under the same id answered before its first
# heartbeat, and the crash of the one before was blamed on nothing.
async def test_response_over_a_newer_connection_is_no_sign_of_life():
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        harness.crashes.connection_lost(call, born)
        clock.seconds += 3
        harness.crashes.target_responded(born, 0.5, connected_s=1.0)
        clock.seconds += 1
        harness.crashes.target_ended(born)
    with pytest.raises(Refusal):
        harness.crashes.check(call)


# BUDGET: servers that had started in the same millisecond were taken
# for one, so that the crashes of both counted once.
async def test_crashes_of_processes_with_one_start_time_both_count():
    call, born = make_call(), 1000
    first, second = GateHarness(name="m1"), GateHarness(name="m2")
    for harness in (first, second):
        crash(harness, call, born)
    first.suspects.merge(second.announced[-1])
    with pytest.raises(Refusal):
        first.crashes.check(call)


# BUDGET: after its quarantine the request was sent to two servers at
# once.
async def test_request_that_was_quarantined_is_not_retried():
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    assert harness.crashes.may_retry(call)
    crash(harness, call, 1)
    assert harness.crashes.may_retry(call)
    crash(harness, call, 2)
    clock.seconds += 61
    harness.crashes.check(call)
    assert not harness.crashes.may_retry(call)
    harness.crashes.answered(call)
    assert harness.crashes.may_retry(call)


# BUDGET: a target that a request had crashed and that fell silent was
# not put down to it.
async def test_request_given_up_before_a_crash_is_blamed():
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        harness.crashes.target_announced(born)
        clock.seconds += 1
        harness.crashes.gave_up(call, born, after_s=0.9)
        clock.seconds += 4
        harness.crashes.target_ended(born)
    with pytest.raises(Refusal):
        harness.crashes.check(call)


# The deadline of a slow request says nothing of the target.
@pytest.mark.parametrize("sign_first", [False, True])
async def test_request_given_up_at_a_living_target_is_not_blamed(sign_first):
    clock = FakeClock()
    harness, call = GateHarness(clock=clock), make_call()
    for born in (1, 2):
        clock.seconds += 1
        if sign_first:
            harness.crashes.target_announced(born)
        harness.crashes.gave_up(call, born, after_s=0.9)
        if not sign_first:
            clock.seconds += 0.1
            harness.crashes.target_announced(born)
        clock.seconds += 0.1
        harness.crashes.target_ended(born)
    harness.crashes.check(call)
