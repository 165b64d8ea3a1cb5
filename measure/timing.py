"""Measures the time of short calls."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_BATCHES = 5


def call_seconds(call: Callable[[], object]) -> float:
    """Return the seconds that one call takes."""
    started = time.perf_counter()
    call()
    return time.perf_counter() - started


def median_call_seconds(call: Callable[[], object], count: int) -> float:
    """
    Return a call's mean seconds, as the median of some batches.

    :param count: calls in each batch.
    """
    times = []
    for _ in range(_BATCHES):
        started = time.perf_counter()
        for _ in range(count):
            call()
        times.append((time.perf_counter() - started) / count)
    return statistics.median(times)
