"""Typical latency of a service."""

from __future__ import annotations

_SAMPLE_WEIGHT = 0.05
_SLOW_RATIO = 3.0


class TypicalLatency:
    """
    Exponential moving average over all servers of a service.

    A sample is clipped to three times the average, so that a few slow
    servers do not raise the typical latency much.

    :ivar value_s: the average in seconds, 0 before the first answer.
    """

    __slots__ = ("value_s",)

    def __init__(self) -> None:
        self.value_s = 0.0

    def record_answer(self, latency_s: float) -> None:
        """Add an answer that took ``latency_s`` seconds."""
        if self.value_s == 0.0:
            self.value_s = latency_s
            return
        clipped_s = min(latency_s, _SLOW_RATIO * self.value_s)
        self.value_s += _SAMPLE_WEIGHT * (clipped_s - self.value_s)

    def is_slow(self, latency_s: float) -> bool:
        """Tell whether a latency is over three times the average."""
        return latency_s > _SLOW_RATIO * self.value_s
