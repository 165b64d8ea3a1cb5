"""Requests that crash targets."""

from __future__ import annotations

import pytest

from burdockgap.verdict import Reason, Refusal
from tests.forward.builders import GateHarness, make_call

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
    other.crashes.merge(harness.suspects[-1])
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
    assert not harness.suspects
