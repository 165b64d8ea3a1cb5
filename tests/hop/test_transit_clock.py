"""Messages that were on their way for long."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.hop.transit_clock import TransitClock

SENDER = 7


def test_delay_is_what_exceeds_the_fastest_message():
    clock = TransitClock()
    assert clock.delay_s(SENDER, 100.0, 5.01) == 0.0
    assert clock.delay_s(SENDER, 101.0, 8.01) == pytest.approx(2.0)
    assert clock.delay_s(SENDER, 102.0, 7.0) == 0.0
    assert clock.delay_s(SENDER, 103.0, 8.51) == pytest.approx(0.51)


def test_senders_have_clocks_of_their_own():
    clock = TransitClock()
    clock.delay_s(SENDER, 100.0, 5.0)
    assert clock.delay_s(SENDER + 1, 900.0, 5.0) == 0.0


@given(st.floats(-1e-4, 1e-4), st.lists(st.floats(0, 0.05), min_size=300))
def test_drift_of_clocks_does_not_count_as_delay(drift, transits):
    clock = TransitClock()
    for number, transit_s in enumerate(transits):
        sent_at = float(number * 30)
        received_at = sent_at * (1 + drift) + transit_s
        delay_s = clock.delay_s(SENDER, sent_at, received_at)
        assert 0 <= delay_s <= 0.05 + 0.02


def test_number_of_senders_is_bounded():
    clock = TransitClock()
    for sender in range(5000):
        clock.delay_s(sender, 0.0, float(sender))
    assert len(clock._offsets) <= 4096
