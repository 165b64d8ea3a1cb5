"""How long the target takes to answer."""

from __future__ import annotations

from collections import deque

_EWMA_WEIGHT = 0.2
_RECENT_SAMPLES = 16


class ServiceTimes:
    """
    Times from dispatch to the head of the answer.

    ``ewma_s`` is their moving average, ``least_s`` the shortest of the
    recent ones and ``completions`` the number of whole answers.
    """

    __slots__ = ("_recent", "completions", "ewma_s", "least_s")

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=_RECENT_SAMPLES)
        self.completions = 0
        self.ewma_s = 0.0
        self.least_s = 0.0

    def observe(self, service_s: float) -> None:
        """Take the time of one answer's head."""
        if not self._recent:
            self.ewma_s = service_s
        self.ewma_s += _EWMA_WEIGHT * (service_s - self.ewma_s)
        self._recent.append(service_s)
        self.least_s = min(self._recent)

    def completed(self) -> None:
        """Take one whole answer."""
        self.completions += 1
