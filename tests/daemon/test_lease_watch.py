from __future__ import annotations

from types import SimpleNamespace

import pytest

from burdockgap.daemon.lease_watch import LeaseWatch
from burdockgap.ownership.counters import LAPSES


class _Sessions:
    def __init__(self, ends):
        self.live = [
            SimpleNamespace(session_id=i, is_held=lambda now, e=end: now < e)
            for i, end in enumerate(ends)
        ]

    def admitted(self):
        return self.live


@pytest.fixture
def clock():
    clock = SimpleNamespace(time=0.0)
    clock.now = lambda: clock.time
    return clock


def _count_lapses(watch, clock, times):
    before = LAPSES._value.get()
    for clock.time in times:
        watch.check()
    return LAPSES._value.get() - before


@pytest.mark.parametrize(
    ("ends", "times", "lapses"),
    [
        pytest.param([9], [1, 2], 0, id="held"),
        pytest.param([2], [1, 3, 4], 1, id="lapsed-once"),
        pytest.param([0], [1, 2], 0, id="never-held"),
        pytest.param([2, 3], [1, 2.5, 4], 2, id="two-sessions"),
    ],
)
def test_lapses_are_counted(clock, ends, times, lapses):
    watch = LeaseWatch(_Sessions(ends), clock)
    assert _count_lapses(watch, clock, times) == lapses


def test_ended_session_is_no_lapse(clock):
    sessions = _Sessions([9])
    watch = LeaseWatch(sessions, clock)
    watch.check()
    sessions.live = []
    assert _count_lapses(watch, clock, [10]) == 0
