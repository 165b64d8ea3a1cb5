"""Detection of a target that makes no progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from burdockgap.clock import Clock


class Progress:
    """
    Detects a stalled target.

    Responses take precedence: while any byte of a response arrives, the
    target is not stalled, whatever its health endpoint reports. A
    target with requests in flight is stalled when it has neither sent a
    byte nor reported healthy for ``stall_s``; any target is stalled
    when it has refused connections for that time. It remains stalled
    until the next response or healthy status.

    :param stall_s: seconds without a response, a healthy status or an
        accepted connection after which the target counts as stalled.
    :param clock: the time source.
    """

    __slots__ = (
        "_clock",
        "_down_since",
        "_healthy_at",
        "_stalled",
        "_worked_at",
        "stall_s",
    )

    def __init__(self, *, stall_s: float, clock: Clock) -> None:
        self._clock = clock
        self._down_since: float | None = None
        self._worked_at = clock.now()
        self._healthy_at = clock.now()
        self._stalled = False
        self.stall_s = stall_s

    def dispatched(self, in_flight: int) -> None:
        """Record a dispatch; reset the timer if none was in flight."""
        if in_flight <= 1:
            self._worked_at = self._clock.now()

    def worked(self) -> None:
        """Record a completion or received bytes of a response."""
        self._worked_at = self._clock.now()
        self._clear_stall()

    def healthy(self) -> None:
        """Record a healthy status of the target."""
        self._healthy_at = self._clock.now()
        self._clear_stall()

    def down(self) -> None:
        """Record a refused connection."""
        if self._down_since is None:
            self._down_since = self._clock.now()

    def stalled(self, in_flight: int) -> bool:
        """Return whether the target is stalled."""
        if not self._stalled and self._is_silent(in_flight):
            self._stalled = True
            logger.warning("target makes no progress")
        return self._stalled

    def _is_silent(self, in_flight: int) -> bool:
        cutoff = self._clock.now() - self.stall_s
        if self._down_since is not None and self._down_since < cutoff:
            return True
        if in_flight == 0:
            return False
        return self._worked_at < cutoff and self._healthy_at < cutoff

    def _clear_stall(self) -> None:
        self._down_since = None
        if self._stalled:
            self._stalled = False
            logger.info("target makes progress again")
