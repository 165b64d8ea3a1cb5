"""Requests whose runs make calls that are refused."""

from __future__ import annotations

import pytest

from burdockgap.scheduling.nested_throttle import NestedThrottle

STEP_S = 0.05


def run(throttle, seconds, room, *, start=0.0):
    """
    Offer 20 requests a second whose calls find room for some.

    :param room: runs per second whose calls succeed.
    :return: how many were started, and how many of them succeeded.
    """
    started = succeeded = 0
    tokens = 0.0
    for step in range(int(seconds / STEP_S)):
        now = start + step * STEP_S
        tokens = min(tokens + room * STEP_S, 2.0)
        if not throttle.admits("transfer", now):
            continue
        started += 1
        has_room = tokens >= 1
        tokens -= has_room
        succeeded += has_room
        throttle.note("transfer", now, succeeded=has_room)
    return started, succeeded


# Every request was started, and most failed after their work was done.
@pytest.mark.parametrize("room", [2, 5, 10, 15])
def test_starts_follow_the_room_of_the_called_service(room):
    throttle = NestedThrottle()
    run(throttle, 10, room)
    started, succeeded = run(throttle, 30, room, start=10)
    assert succeeded >= 0.9 * min(room, 20) * 30
    assert started <= 2 * succeeded + 30


def test_few_failures_of_other_causes_refuse_nobody():
    throttle = NestedThrottle()
    for step in range(400):
        now = step * STEP_S
        assert throttle.admits("transfer", now)
        throttle.note("transfer", now, succeeded=step % 10 != 0)


def test_end_of_a_shortage_is_noticed():
    throttle = NestedThrottle()
    run(throttle, 10, 0)
    run(throttle, 5, 20, start=10)
    started, _ = run(throttle, 1, 20, start=15)
    assert started >= 19


def test_other_routes_are_not_affected():
    throttle = NestedThrottle()
    run(throttle, 10, 0)
    assert all(throttle.admits("query", 10 + i) for i in range(20))
