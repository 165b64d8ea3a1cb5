"""The latency that is usual for a service."""

from __future__ import annotations

_WEIGHT = 0.05
_CLIP_FACTOR = 3.0


class TypicalLatency:
    """
    Moving average over all servers of a service.

    Slow answers count no more than three times the average, so a few
    slow servers do not make slowness usual.

    :ivar value_s: the average, 0 while nothing was measured.
    """

    __slots__ = ("value_s",)

    def __init__(self) -> None:
        self.value_s = 0.0

    def answered(self, latency_s: float) -> None:
        """Account for an answer after ``latency_s`` seconds."""
        if self.value_s == 0.0:
            self.value_s = latency_s
            return
        clipped_s = min(latency_s, _CLIP_FACTOR * self.value_s)
        self.value_s += _WEIGHT * (clipped_s - self.value_s)

    def is_slow(self, latency_s: float) -> bool:
        """Tell whether an answer took much longer than usual."""
        return latency_s > _CLIP_FACTOR * self.value_s
