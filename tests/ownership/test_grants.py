from __future__ import annotations

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.lease.timing import LeaseTiming
from burdockgap.ownership.grants import Grants
from burdockgap.ownership.own_session import OwnSession
from tests.builders import FakeTarget, FixedLease

_MARGIN_S = 0.05
_TIMING = LeaseTiming(renew_s=0.02)


class Harness:
    """A session with one active unit, and its target's grants."""

    def __init__(self, lease_s=1.0):
        clock = BootClock()
        self.clock = clock
        self.target = FakeTarget()
        self.session = OwnSession(1)
        self.session.admit(FixedLease(clock.now() + lease_s))
        self.session.holdings.activate(0, 2)
        self.grants = Grants(
            self.target,
            clock=clock,
            timing=_TIMING,
            margin_s=_MARGIN_S,
            checks_grants=True,
        )
        self.grants.changed(self.session)


def _run(scenario, **options: float):
    async def main():
        harness = Harness(**options)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.grants.run, harness.session)
                await anyio.sleep(0.07)
                await scenario(harness)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_epochs_once_then_lease_only():
    async def scenario(harness):
        first, *later = harness.target.grants
        assert first.epochs == {0: 2}
        assert first.lease_s <= 1.0 - _MARGIN_S
        assert later
        assert [grant.epochs for grant in later] == [None] * len(later)

    _run(scenario)


def test_withdraw_sends_epochs_left():
    async def scenario(harness):
        harness.session.holdings.release(0, 4)
        await harness.grants.withdraw(harness.session)
        sets = [grant.epochs for grant in harness.target.grants]
        assert [epochs for epochs in sets if epochs is not None][-1] == {}

    _run(scenario)


def test_withdraw_waits_for_end_of_grant_if_target_is_silent():
    async def scenario(harness):
        harness.target.refusing = True
        harness.session.holdings.release(0, 4)
        last = harness.target.grants[-1].lease_s
        start = harness.clock.now()
        await harness.grants.withdraw(harness.session)
        assert harness.clock.now() - start == pytest.approx(last, abs=0.1)
        assert last > 0.1

    _run(scenario, lease_s=0.3)


def test_epochs_again_after_restart_of_target():
    async def scenario(harness):
        harness.target.grants.clear()
        harness.grants.target_restarted()
        await anyio.sleep(0.05)
        assert harness.target.grants[0].epochs == {0: 2}

    _run(scenario)


def test_no_grant_without_lease():
    async def scenario(harness):
        assert harness.target.grants == []

    _run(scenario, lease_s=0.0)


def test_restarted_target_gets_no_work_before_its_grant():
    async def scenario(harness):
        assert harness.session.is_granted(0)
        harness.target.refusing = True
        harness.grants.target_restarted()
        assert not harness.session.is_granted(0)
        harness.target.refusing = False
        await anyio.sleep(0.2)
        assert harness.session.is_granted(0)
        assert harness.target.grants[-1].epochs is None

    _run(scenario)
