"""Statistics of the target's service times."""

from __future__ import annotations

from collections import deque

_EWMA_WEIGHT = 0.2
_RECENT_SAMPLES = 16


class ServiceTimes:
    """
    Times from dispatch to the response head.

    ``ewma_s`` is their moving average, ``min_s`` the shortest of the
    recent ones and ``completions`` the number of complete responses.
    """

    __slots__ = ("_recent", "completions", "ewma_s", "min_s")

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=_RECENT_SAMPLES)
        self.completions = 0
        self.ewma_s = 0.0
        self.min_s = 0.0

    def observe(self, service_s: float) -> None:
        """Record the time from dispatch to a response head."""
        if not self._recent:
            self.ewma_s = service_s
        self.ewma_s += _EWMA_WEIGHT * (service_s - self.ewma_s)
        self._recent.append(service_s)
        self.min_s = min(self._recent)

    def completed(self) -> None:
        """Count one complete response."""
        self.completions += 1
