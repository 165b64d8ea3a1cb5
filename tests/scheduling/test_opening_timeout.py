"""Timeouts of openings of connections over a full link."""

from __future__ import annotations

from burdockgap.scheduling.opening_timeout import OpeningTimeout


def test_timeout_follows_the_delay_within_bounds():
    timeout = OpeningTimeout()
    assert timeout.seconds == 0.5
    timeout.expired()
    assert timeout.seconds == 1.5
    for _ in range(3):
        timeout.expired()
    assert timeout.seconds == 2.0
    timeout.opened(0.3)
    assert round(timeout.seconds, 3) == 0.9
    timeout.opened(0.01)
    assert timeout.seconds == 0.5
