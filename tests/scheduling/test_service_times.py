"""Learned service times."""

from __future__ import annotations

import random

import pytest

from burdockgap.scheduling.service_times import ServiceTimes


def test_initial_time_counts_until_a_request_has_run():
    times = ServiceTimes(0.3)
    assert (times.estimate_s("a"), times.tail_s("a")) == (0.3, 0.3)
    times.note("b", 0.1)
    assert (times.mean_s, times.estimate_s("a")) == (0.1, 0.1)


def test_routes_are_told_apart():
    times = ServiceTimes()
    for _ in range(100):
        times.note("fast", 0.01)
        times.note("slow", 0.5)
    assert times.estimate_s("fast") == pytest.approx(0.01)
    assert times.estimate_s("slow") == pytest.approx(0.5)
    assert 0.1 < times.estimate_s("other") < 0.4


def test_tail_is_not_moved_by_rare_long_requests():
    """Three in a hundred take seven times as long as the others."""
    rng, times, below = random.Random(7), ServiceTimes(), 0
    for number in range(3000):
        seconds = rng.uniform(0.08, 0.24) * (7 if rng.random() < 0.03 else 1)
        if number >= 1000:
            below += seconds <= times.tail_s("a")
        times.note("a", seconds)
    assert 0.7 < below / 2000 < 0.92
    assert times.tail_s("a") < 0.3


def test_routes_are_bounded():
    times = ServiceTimes()
    for number in range(2000):
        times.note(f"r{number}", 0.1)
    assert len(times._routes) <= 512
