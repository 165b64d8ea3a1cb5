"""Which connections are closed when memory is used up."""

from __future__ import annotations

import random

import pytest

from burdockgap.resources.held_connection import HeldConnection
from burdockgap.resources.shedding import (
    MIN_WAITING_S,
    ORDINARY_BYTES_PER_S,
    select,
)


def make_held(name, *, held_bytes=1000, bytes_per_s=0.0, waiting_s=5.0):
    return HeldConnection(
        name,
        held_bytes=held_bytes,
        bytes_per_s=bytes_per_s,
        waiting_s=waiting_s,
    )


def names(selected):
    return [held.connection for held in selected]


def test_least_progress_is_closed_first():
    """A client that makes progress outlives one that makes none."""
    held = [
        make_held("fast", bytes_per_s=9000.0, held_bytes=90_000),
        make_held("none"),
        make_held("slow", bytes_per_s=100.0),
    ]
    assert names(select(held, 1000)) == ["none"]
    assert names(select(held, 1001)) == ["none", "slow"]
    assert names(select(held, 10**9)) == ["none", "slow", "fast"]


def test_of_equal_progress_the_largest_is_closed_first():
    """Closing many small connections for one large one helps nobody."""
    held = [make_held("small"), make_held("large", held_bytes=5000)]
    assert names(select(held, 4000)) == ["large"]


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"waiting_s": MIN_WAITING_S * 0.99}, id="just-began"),
        pytest.param({"bytes_per_s": ORDINARY_BYTES_PER_S}, id="ordinary"),
        pytest.param({"held_bytes": 0}, id="holds-nothing"),
    ],
)
def test_ordinary_connection_is_never_closed(fields):
    """No response is cut for a client that reads as others do."""
    assert select([make_held("a", **fields)], 10**9) == []


def test_nothing_is_closed_when_nothing_is_missing():
    """An idle connection must not be closed without need."""
    assert select([make_held("a")], 0) == []


@pytest.mark.parametrize("seed", range(20))
def test_no_connection_is_spared_with_less_progress(seed):
    """Random crowds: all that are kept moved at least as much."""
    rng = random.Random(seed)
    held = [
        make_held(
            str(index),
            held_bytes=rng.randrange(1, 10_000),
            bytes_per_s=rng.choice([0.0, 10.0, 5000.0, 20_000.0]),
            waiting_s=rng.uniform(0, 2),
        )
        for index in range(50)
    ]
    missing = rng.randrange(100_000)
    chosen = select(held, missing)
    kept = [
        item
        for item in held
        if item not in chosen and item.waiting_s >= MIN_WAITING_S
    ]
    fastest = max((item.bytes_per_s for item in chosen), default=0.0)
    assert all(item.bytes_per_s >= fastest for item in kept)
    freed = sum(item.held_bytes for item in chosen)
    assert freed >= missing or all(
        item.bytes_per_s >= ORDINARY_BYTES_PER_S for item in kept
    )
