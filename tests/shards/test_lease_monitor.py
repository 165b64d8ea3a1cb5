"""Tests of the log of a lease's loss and return."""

from __future__ import annotations

import pytest

from burdockgap.shards.lease import Lease
from burdockgap.shards.lease_monitor import LeaseAnswer, LeaseMonitor
from tests.gate.fakes import FakeClock

VERSION = (2, 5)


class MonitoredLease:
    """A lease that was extended once, its monitor and the log."""

    def __init__(self):
        self.clock = FakeClock()
        self.lease = Lease(self.clock)
        self.lines = []
        self.monitor = LeaseMonitor(
            clock=self.clock,
            lease=self.lease,
            on_event=lambda event, fields: self.lines.append((event, fields)),
        )
        self.extend()

    def extend(self):
        now = self.clock.now()
        self.lease.extend(now, 1.5)
        self.monitor.note(now, 1.5)
        self.monitor.check(VERSION)

    def advance(self, seconds):
        self.clock.seconds += seconds
        self.monitor.check(VERSION)


@pytest.mark.parametrize(
    ("lease_s", "is_outdated", "answer"),
    [
        (1.5, False, LeaseAnswer.LATE),
        (0.0, False, LeaseAnswer.DENIED),
        (1.5, True, LeaseAnswer.OUTDATED),
    ],
)
def test_loss_names_the_last_answer(lease_s, is_outdated, answer):
    item = MonitoredLease()
    item.clock.seconds += 1.6
    item.monitor.note(
        item.clock.now() - 1.55, lease_s, is_outdated=is_outdated
    )
    item.advance(0.0)
    ((event, fields),) = item.lines
    assert event == "lease"
    assert (fields["state"], fields["answer"]) == ("lost", answer.value)
    assert (fields["round_trip_ms"], fields["control"]) == (1550, [2, 5])
    assert item.monitor.answers[answer] == 1


def test_loss_without_an_answer():
    item = MonitoredLease()
    item.advance(1.6)
    ((_, fields),) = item.lines
    assert (fields["answer"], fields["answer_age_ms"]) == ("unanswered", 1600)


def test_loss_and_return_are_logged_once():
    item = MonitoredLease()
    for _ in range(5):
        item.advance(0.8)
    item.extend()
    item.advance(0.1)
    states = [fields["state"] for _, fields in item.lines]
    assert states == ["lost", "regained"]
    assert item.lines[1][1]["lost_ms"] == 2400


def test_no_line_before_the_first_lease():
    item = MonitoredLease()
    item.lease.follow(1)
    item.advance(3.0)
    assert not item.lines
