"""The growth of the limit on work in flight after a cold start."""

from __future__ import annotations

import statistics
from collections import deque

_RECENT_SAMPLES = 8
_LONG_RUN_SAMPLES = 256
_LONG_RUN_MINIMUM = 16
_JUMP_FACTOR = 5.0
_JUMP_FLOOR_S = 0.01
_FAILURE_S = float("inf")


class Ramp:
    """
    Decides how many requests a target can bear.

    The limit starts low and grows by one per ``step`` completed
    requests up to the target's slots. It falls back to the start when
    the target restarts, or when its answers become slow all at once,
    which is how a target shows that it has turned cold.

    :param start: limit at a cold start.
    :param slots: limit of a warm target.
    :param step: completions per further slot.
    """

    __slots__ = (
        "_long_run",
        "_long_run_median_s",
        "_recent",
        "_since_step",
        "falls",
        "limit",
        "slots",
        "start",
        "step",
    )

    def __init__(self, *, start: int, slots: int, step: int) -> None:
        self._long_run: deque[float] = deque(maxlen=_LONG_RUN_SAMPLES)
        self._long_run_median_s: float | None = None
        self._recent: deque[float] = deque()
        self._since_step = 0
        self.falls = 0
        self.configure(start=start, slots=slots, step=step)
        self.limit = self.start

    def configure(self, *, start: int, slots: int, step: int) -> None:
        """Take other settings; a warm target stays warm."""
        self.slots = max(1, slots)
        self.start = min(max(1, start), self.slots)
        self.step = max(1, step)
        self.limit = min(getattr(self, "limit", self.start), self.slots)

    def restart(self) -> None:
        """Begin again, as after a restart of the target."""
        self._fall()
        self._long_run.clear()
        self._long_run_median_s = None

    def completed(self, service_s: float) -> None:
        """
        Take the time of one answered request.

        :param service_s: seconds from dispatch to the answer's head.
        """
        self._observe(service_s)
        self._since_step += 1
        if self._since_step >= self.step:
            self._since_step = 0
            self.limit = min(self.limit + 1, self.slots)

    def failed(self) -> None:
        """Take a request that timed out or was lost."""
        self._observe(_FAILURE_S)

    def shed(self) -> None:
        """Take a request that the target refused unrun."""
        self._since_step = 0
        self.limit = max(self.start, self.limit - 1)

    def _observe(self, service_s: float) -> None:
        self._recent.append(service_s)
        if len(self._recent) < _RECENT_SAMPLES:
            return
        if self._has_jumped():
            self._fall()
            return
        oldest = self._recent.popleft()
        if oldest != _FAILURE_S:
            self._remember(oldest)

    def _has_jumped(self) -> bool:
        if self._long_run_median_s is None:
            return False
        recent_s = statistics.median_low(self._recent)
        bar_s = max(self._long_run_median_s * _JUMP_FACTOR, _JUMP_FLOOR_S)
        return recent_s > bar_s

    def _remember(self, service_s: float) -> None:
        self._long_run.append(service_s)
        if len(self._long_run) >= _LONG_RUN_MINIMUM:
            self._long_run_median_s = statistics.median(self._long_run)

    def _fall(self) -> None:
        self.falls += 1
        self.limit = self.start
        self._since_step = 0
        self._recent.clear()
