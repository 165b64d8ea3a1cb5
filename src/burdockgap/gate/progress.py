"""Whether the target makes progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from burdockgap.clock import Clock


class Progress:
    """
    Tells a target that works from one that has stopped.

    Answers count first: while any byte arrives, the health endpoint is
    not asked for an opinion. A target with work in flight that neither
    answers nor is healthy for ``stall_s`` is stalled. So is one that
    takes no connections for that time. It stays so until the next sign
    of life.

    :param stall_s: seconds without a sign of life.
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
        """Take a dispatch; the first one after an idle time counts."""
        if in_flight <= 1:
            self._worked_at = self._clock.now()

    def worked(self) -> None:
        """Take a completion or a byte of an answer."""
        self._worked_at = self._clock.now()
        self._revive()

    def healthy(self) -> None:
        """Take an answer of the health endpoint."""
        self._healthy_at = self._clock.now()
        self._revive()

    def down(self) -> None:
        """Take a refused connection."""
        if self._down_since is None:
            self._down_since = self._clock.now()

    def stalled(self, in_flight: int) -> bool:
        """Tell whether the target has stopped."""
        if not self._stalled and self._is_silent(in_flight):
            self._stalled = True
            logger.warning("target makes no progress")
        return self._stalled

    def _is_silent(self, in_flight: int) -> bool:
        bar = self._clock.now() - self.stall_s
        if self._down_since is not None and self._down_since < bar:
            return True
        if in_flight == 0:
            return False
        return self._worked_at < bar and self._healthy_at < bar

    def _revive(self) -> None:
        self._down_since = None
        if self._stalled:
            self._stalled = False
            logger.info("target makes progress again")
