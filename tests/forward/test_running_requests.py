"""Recognition of the calls that running requests make."""

from __future__ import annotations

import time

import pytest

from burdockgap.forward.running_requests import RunningRequests


def is_nested(running, request_id):
    with running.nested(request_id) as nested:
        return nested


@pytest.mark.parametrize(
    ("call_id", "expected"),
    [
        ("a.1", True),
        ("a.1.2", True),
        ("a.b.1", True),
        ("a", False),
        ("a.", False),
        ("ab.1", False),
        ("b.1", False),
        (".1", False),
    ],
)
def test_prefix_decides(call_id, expected):
    running = RunningRequests()
    with running.run("a"):
        assert is_nested(running, call_id) is expected
    assert not is_nested(running, call_id)


def test_id_with_a_dot_is_a_prefix_as_a_whole():
    running = RunningRequests()
    with running.run("a.b"):
        assert is_nested(running, "a.b.1")
        assert not is_nested(running, "a.1")
        assert not is_nested(running, "a.b")


def test_request_that_runs_twice_runs_until_both_end():
    running = RunningRequests()
    with running.run("a"):
        with running.run("a"):
            pass
        assert is_nested(running, "a.1")
    assert not is_nested(running, "a.1")


def test_calls_with_precedence_are_bounded_per_request():
    running = RunningRequests()
    with running.run("a"), running.run("b"):
        contexts = [running.nested(f"a.{number}") for number in range(17)]
        assert [context.__enter__() for context in contexts] == (
            [True] * 16 + [False]
        )
        assert running.nested_calls == 16
        assert is_nested(running, "b.1")
        contexts[0].__exit__(None, None, None)
        assert is_nested(running, "a.17")


def test_call_outlives_the_request_that_made_it():
    running = RunningRequests()
    with running.run("a"):
        context = running.nested("a.1")
        context.__enter__()
    with running.run("a"):
        context.__exit__(None, None, None)
        assert is_nested(running, "a.2")
    assert running.nested_calls == 0


def test_long_id_of_dots_is_looked_up_in_bounded_time():
    running = RunningRequests()
    with running.run("a"):
        began = time.perf_counter()
        for _ in range(100):
            assert not is_nested(running, "." * 16_000)
            assert not is_nested(running, "b" + "." * 16_000)
        assert time.perf_counter() - began < 1.0
