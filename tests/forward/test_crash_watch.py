"""Requests that crash targets."""

from __future__ import annotations

import pytest

from burdockgap.verdict import Reason, Refusal
from tests.forward.builders import GateHarness, make_call

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def crash(world, call, born):
    world.crashes.lost(call, born)
    world.crashes.ended(born)


async def test_request_is_refused_after_two_crashes():
    world, call = GateHarness(), make_call()
    crash(world, call, 1)
    world.crashes.check(call)
    crash(world, call, 2)
    again = make_call(request_id="r2")
    with pytest.raises(Refusal) as caught:
        world.crashes.check(again)
    assert caught.value.reason is Reason.QUARANTINED


async def test_other_daemons_refuse_it_too():
    world, other, call = GateHarness(), GateHarness(), make_call()
    crash(world, call, 1)
    crash(world, call, 2)
    other.crashes.merge(world.suspects[-1])
    with pytest.raises(Refusal):
        other.crashes.check(call)


async def test_answered_request_is_not_blamed():
    world, call = GateHarness(), make_call()
    crash(world, call, 1)
    world.crashes.answered(call)
    crash(world, call, 2)
    world.crashes.check(call)


async def test_lost_connection_alone_is_no_crash():
    world, call = GateHarness(), make_call()
    for _ in range(3):
        world.crashes.lost(call, 1)
    world.crashes.check(call)
    assert not world.suspects
