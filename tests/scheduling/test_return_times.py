"""When refused callers are asked to return."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.scheduling.return_times import ReturnTimes


# RETURN: all refused callers were told 0.1 to 0.25 s, returned together
# and were refused again.
def test_returns_are_spread_over_the_capacity():
    times = ReturnTimes()
    told = [times.book(100.0, 0.3, 10.0) for _ in range(8)]
    assert told[0] == pytest.approx(0.3)
    assert all(
        after - before == pytest.approx(0.1)
        for before, after in pairwise(told)
    )


def test_places_in_the_past_are_forgotten():
    times = ReturnTimes()
    for _ in range(20):
        times.book(0.0, 0.0, 10.0)
    assert times.book(10.0, 0.2, 10.0) == pytest.approx(0.2)


def test_quote_takes_no_place():
    times = ReturnTimes()
    times.book(0.0, 0.5, 10.0)
    for _ in range(3):
        assert times.quote(0.0, 0.5, 10.0) == pytest.approx(0.6)
    assert times.book(0.0, 0.5, 10.0) == pytest.approx(0.6)


def test_server_without_capacity():
    assert ReturnTimes().book(0.0, 0.1, 0.0) == 2.0


@given(
    steps=st.lists(
        st.tuples(st.floats(0, 0.5), st.floats(-1, 5), st.floats(0.01, 5000)),
        max_size=200,
    )
)
def test_times_are_bounded_and_no_sooner_than_the_backlog(steps):
    times, now = ReturnTimes(), 1000.0
    for pause_s, backlog_s, rate in steps:
        now += pause_s
        told_s = times.book(now, backlog_s, rate)
        assert 0.0 <= told_s <= 2.0
        assert told_s >= min(backlog_s, 2.0) - 1e-6
