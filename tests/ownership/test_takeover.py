from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from burdockgap.lease.certificates import Certificates
from burdockgap.ownership.guard import Guard
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.ownership.release_error import ReleaseError
from burdockgap.ownership.releaser import Releaser
from burdockgap.ownership.takeover import Takeover
from burdockgap.records.activated import Activated
from burdockgap.records.pin import Pin
from tests.builders import FakeClock, FakeFolds, FixedLease, make_session
from tests.ownership.world import KEYS, PINS, SLICES


class Peer:
    """One daemon with real tasks; it calls its peers directly."""

    def __init__(self, folds, release_timeout_s=5.0):
        self.folds = folds
        self.peers = {}
        self.reports = []
        self.failures = 0
        self.cancelled = []
        self.sessions = OwnSessions(
            service="records",
            folds=folds,
            make_lease=lambda _entry: FixedLease(2000.0),
        )
        certificates = Certificates(folds)
        self.releaser = Releaser(
            sessions=self.sessions,
            folds=folds,
            withdraw=self._withdraw,
            cancel=self.cancelled.extend,
            release_timeout_s=release_timeout_s,
        )
        self.takeover = Takeover(
            sessions=self.sessions,
            folds=folds,
            certificates=certificates,
            client=self,
            releaser=self.releaser,
            on_active=lambda _session: None,
            report=self._report,
        )
        self.guard = Guard(
            sessions=self.sessions,
            folds=folds,
            certificates=certificates,
            clock=FakeClock(),
            margin_s=0.0,
        )

    async def _withdraw(self, _session):
        await anyio.lowlevel.checkpoint()

    async def _report(self, report):
        self.reports.append(report)
        fields = {"units": report.units, "epochs": report.epochs}
        self.folds.add(Activated, **fields)

    async def release(self, session, request):
        if self.failures:
            self.failures -= 1
            raise ReleaseError("no answer")
        return await self.peers[session.session_id].releaser.release(request)

    def epoch(self, session_id, unit):
        session = self.sessions.find(session_id)
        return 0 if session is None else session.holdings.epoch(unit)


class Pair:
    """Two daemons over one fold; the first owns all slices."""

    def __init__(self, **options: float):
        self.folds = FakeFolds()
        self.folds.claim()
        self.folds.layout(SLICES)
        self.first = Peer(self.folds, **options)
        self.second = Peer(self.folds)
        self.second.peers = {1: self.first}
        self.first.sessions.open(1)
        self.second.sessions.open(2)
        self.folds.admit(
            make_session(session_id=1, successors=[2]),
            make_session(session_id=2, successors=[1]),
        )
        self.folds.assign([0, 1], 1)


def _run(scenario, **options: float):
    async def main():
        pair = Pair(**options)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pair.first.takeover.run)
                tasks.start_soon(pair.second.takeover.run)
                await anyio.wait_all_tasks_blocked()
                await scenario(pair)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def _until(condition):
    while not condition():
        await anyio.sleep(0.005)


def test_move_with_report():
    async def scenario(pair):
        pair.folds.assign([0], 2)
        await _until(lambda: pair.second.epoch(2, 0) == 4)
        assert pair.first.epoch(1, 0) == 0
        assert pair.first.epoch(1, 1) == 2
        await _until(lambda: not pair.second.takeover.activator.unreported)
        assert pair.folds.control.tables["records"].earlier_holders(0) == ()

    _run(scenario)


def test_pin_of_active_slice_is_active_at_once():
    async def scenario(pair):
        pair.folds.add(Pin, unit=PINS[0])
        assert pair.first.epoch(1, PINS[0]) == 2
        pair.folds.assign([0], 2)
        await _until(lambda: pair.second.epoch(2, 0) == 4)
        assert pair.first.epoch(1, PINS[0]) == 2

    _run(scenario)


def test_move_retried_after_failures():
    async def scenario(pair):
        pair.second.failures = 2
        pair.folds.assign([0], 2)
        await _until(lambda: pair.second.epoch(2, 0) == 4)

    _run(scenario)


def test_move_waits_for_work_of_its_unit_only():
    async def scenario(pair):
        with pair.first.guard.enter(KEYS[0]):
            pair.folds.assign([0, 1], 2)
            await _until(lambda: pair.second.epoch(2, 1) == 4)
            await anyio.sleep(0.05)
            assert pair.second.epoch(2, 0) == 0
        await _until(lambda: pair.second.epoch(2, 0) == 4)
        assert not pair.first.cancelled

    _run(scenario)


def test_slow_work_cancelled_and_waited_for():
    async def scenario(pair):
        with pair.first.guard.enter(KEYS[0]) as permit:
            pair.folds.assign([0], 2)
            await _until(lambda: pair.first.cancelled == [permit])
            await anyio.sleep(0.05)
            assert pair.second.epoch(2, 0) == 0
        await _until(lambda: pair.second.epoch(2, 0) == 4)

    _run(scenario, release_timeout_s=0.05)


def test_second_session_takes_over_locally():
    async def scenario(pair):
        pair.first.sessions.open(3)
        pair.folds.admit(make_session(session_id=3))
        pair.first.peers = {2: pair.second}
        pair.second.peers[3] = pair.first
        with pair.first.guard.enter(KEYS[0]) as permit:
            pair.folds.assign([0, 1], 3)
            await _until(lambda: pair.first.epoch(3, 0) == 4)
            assert pair.first.epoch(1, 0) == pair.first.epoch(1, 1) == 0
            pair.first.sessions.find(1).lease.ends_at = 0.0
            assert permit.expires_at == 2000.0
            pair.folds.assign([0, 1], 2)
            await _until(lambda: pair.second.epoch(2, 1) == 6)
            await anyio.sleep(0.05)
            assert pair.second.epoch(2, 0) == 0
        await _until(lambda: pair.second.epoch(2, 0) == 6)

    _run(scenario)


def test_unreachable_holder_until_its_end():
    async def scenario(pair):
        pair.second.failures = 10**6
        pair.folds.assign([0], 2)
        await anyio.sleep(0.05)
        assert pair.second.epoch(2, 0) == 0
        pair.folds.end(1)
        assert pair.second.epoch(2, 0) == 4

    _run(scenario)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        pytest.param({"session_id": 9}, "not of this process", id="unknown"),
        pytest.param({"control_offset": 99}, "behind", id="behind"),
        pytest.param({"service": "other"}, "no units", id="other-service"),
    ],
)
def test_release_refused(changes, message):
    async def scenario(pair):
        fields = {"session_id": 1, "service": "records", "units": [0]}
        fields |= {"epochs": [4], "control_offset": 0}
        with pytest.raises(ReleaseError, match=message):
            await pair.first.releaser.release(Release(**fields | changes))
        assert pair.first.epoch(1, 0) == 2

    _run(scenario)


def test_release_of_higher_epoch_keeps_unit():
    async def scenario(pair):
        with pair.first.guard.enter(KEYS[0]):
            request = Release(
                session_id=1,
                service="records",
                units=[0],
                epochs=[2],
                control_offset=0,
            )
            released = await pair.first.releaser.release(request)
        assert (released.units, released.floors) == ([0], [2])
        assert pair.first.epoch(1, 0) == 2

    _run(scenario)
