"""Detection of a stalled target, which ends the daemon's lease."""

from __future__ import annotations

import pytest

from burdockgap.gate.progress import Progress
from tests.gate.fakes import FakeClock


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def progress(clock):
    return Progress(stall_s=1.0, clock=clock)


def test_silent_with_work_in_flight(progress, clock):
    progress.dispatched(1)
    clock.seconds += 1.1
    assert progress.stalled(1)
    assert progress.stalled(0), "abandoning a request is not progress"
    progress.worked()
    assert not progress.stalled(1)


def test_idle_target_is_not_stalled(progress, clock):
    clock.seconds += 9
    assert not progress.stalled(0)
    progress.dispatched(1)
    assert not progress.stalled(1)


@pytest.mark.parametrize("sign", ["worked", "healthy"])
def test_response_or_health_prevents_stall(progress, clock, sign):
    progress.dispatched(1)
    for _ in range(5):
        clock.seconds += 0.9
        getattr(progress, sign)()
        assert not progress.stalled(3)


def test_target_that_refuses_connections(progress, clock):
    progress.down()
    assert not progress.stalled(0)
    clock.seconds += 1.1
    progress.down()
    assert progress.stalled(0)
    progress.healthy()
    assert not progress.stalled(0)
