"""The limit on requests in flight, which grows after a cold start."""

from __future__ import annotations

import statistics
from collections import deque

_RECENT_SAMPLES = 8
_BASELINE_SAMPLES = 256
_MIN_BASELINE_SAMPLES = 16
_JUMP_FACTOR = 5.0
_JUMP_FLOOR_S = 0.01
_FAILURE_S = float("inf")


class Ramp:
    """
    Limits the requests in flight of a target that warms up.

    The limit starts low and grows by one per ``step`` completed
    requests up to the target's slots. It is reset to ``start`` when the
    target restarts or when its service times rise suddenly, which
    indicates that the target has become cold again.

    :param start: limit at a cold start.
    :param slots: limit of a warm target.
    :param step: completed requests per additional slot.
    """

    __slots__ = (
        "_baseline",
        "_baseline_median_s",
        "_recent",
        "_completed_since_step",
        "resets",
        "limit",
        "slots",
        "start",
        "step",
    )

    def __init__(self, *, start: int, slots: int, step: int) -> None:
        self._baseline: deque[float] = deque(maxlen=_BASELINE_SAMPLES)
        self._baseline_median_s: float | None = None
        self._recent: deque[float] = deque()
        self._completed_since_step = 0
        self.resets = 0
        self.configure(start=start, slots=slots, step=step)
        self.limit = self.start

    def configure(self, *, start: int, slots: int, step: int) -> None:
        """Apply other settings; the limit is kept, up to ``slots``."""
        self.slots = max(1, slots)
        self.start = min(max(1, start), self.slots)
        self.step = max(1, step)
        self.limit = min(getattr(self, "limit", self.start), self.slots)

    def restart(self) -> None:
        """Reset the limit and the baseline after a target restart."""
        self._reset()
        self._baseline.clear()
        self._baseline_median_s = None

    def completed(self, service_s: float) -> None:
        """
        Record the service time of one completed request.

        :param service_s: seconds from dispatch to the response head.
        """
        self._observe(service_s)
        self._completed_since_step += 1
        if self._completed_since_step >= self.step:
            self._completed_since_step = 0
            self.limit = min(self.limit + 1, self.slots)

    def failed(self) -> None:
        """Record a request that timed out or lost its connection."""
        self._observe(_FAILURE_S)

    def shed(self) -> None:
        """Lower the limit by one after the target shed a request."""
        self._completed_since_step = 0
        self.limit = max(self.start, self.limit - 1)

    def _observe(self, service_s: float) -> None:
        self._recent.append(service_s)
        if len(self._recent) < _RECENT_SAMPLES:
            return
        if self._has_jumped():
            self._reset()
            return
        oldest = self._recent.popleft()
        if oldest != _FAILURE_S:
            self._add_to_baseline(oldest)

    def _has_jumped(self) -> bool:
        if self._baseline_median_s is None:
            return False
        recent_s = statistics.median_low(self._recent)
        threshold_s = max(
            self._baseline_median_s * _JUMP_FACTOR, _JUMP_FLOOR_S
        )
        return recent_s > threshold_s

    def _add_to_baseline(self, service_s: float) -> None:
        self._baseline.append(service_s)
        if len(self._baseline) >= _MIN_BASELINE_SAMPLES:
            self._baseline_median_s = statistics.median(self._baseline)

    def _reset(self) -> None:
        self.resets += 1
        self.limit = self.start
        self._completed_since_step = 0
        self._recent.clear()
