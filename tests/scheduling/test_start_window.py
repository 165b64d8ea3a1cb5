"""How long a request may wait for a slot."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.scheduling.start_window import (
    latest_return_s,
    longest_wait_s,
)


def wait_s(**fields):
    defaults = {
        "nested": False,
        "deadline_s": 2.0,
        "objective_s": 0.7,
        "mean_s": 0.16,
        "tail_s": 0.24,
    }
    return longest_wait_s(**{**defaults, **fields})


def test_new_request_waits_as_long_as_it_can_meet_its_objective():
    assert wait_s() == pytest.approx(0.46)
    assert wait_s(deadline_s=0.5) == pytest.approx(0.34)


# QUEUE: the wait of calls made by running requests was bounded by half
# of their objective, whatever was left of their deadline.
def test_nested_call_waits_as_long_as_its_deadline_allows():
    nested_s = wait_s(
        nested=True, deadline_s=0.765, objective_s=0.229, mean_s=0.04
    )
    assert nested_s == pytest.approx(0.725)


def test_request_whose_objective_has_passed_may_not_wait():
    assert wait_s(objective_s=-0.1) < 0
    assert wait_s(objective_s=0.0) < 0


def test_route_that_takes_longer_than_its_objective_may_wait_a_little():
    """Otherwise each of its requests would need a free slot."""
    assert wait_s(objective_s=0.1) == pytest.approx(0.05)


@given(
    nested=st.booleans(),
    deadline_s=st.floats(-1, 10),
    objective_s=st.floats(-1, 10),
    mean_s=st.floats(0.001, 5),
    extra_s=st.floats(0, 5),
)
def test_wait_ends_before_the_deadline(
    nested, deadline_s, objective_s, mean_s, extra_s
):
    longest_s = wait_s(
        nested=nested,
        deadline_s=deadline_s,
        objective_s=objective_s,
        mean_s=mean_s,
        tail_s=mean_s + extra_s,
    )
    assert longest_s + mean_s <= deadline_s + 1e-6
    if not nested:
        assert longest_s <= max(objective_s, 0.0)


def test_refused_request_returns_while_it_can_be_answered_in_time():
    assert latest_return_s(objective_s=0.74, tail_s=0.24) == pytest.approx(0.1)
    assert latest_return_s(objective_s=0.1, tail_s=0.24) == 0.0
