"""Relative service times of one concurrency level."""

from __future__ import annotations

import math

_MAX_SAMPLES = 200
"""Samples that the mean spans; older ones lose weight."""


class LevelTimes:
    """
    Mean and variance of the relative service times at one level.

    Addresses service times of which a few are many times the mean.

    :ivar count: samples that the mean spans.
    :ivar mean: the mean, 0 before the first sample.
    """

    __slots__ = ("_variance", "count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self._variance = 0.0

    def note(self, relative: float) -> None:
        """Add a sample."""
        self.count = min(self.count + 1, _MAX_SAMPLES)
        weight = 1 / self.count
        error = relative - self.mean
        self.mean += weight * error
        self._variance += weight * ((1 - weight) * error**2 - self._variance)

    @property
    def error(self) -> float:
        """Standard error of the mean."""
        return math.sqrt(self._variance / max(self.count, 1))
