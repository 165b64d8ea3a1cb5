"""Requests that the target received and did not answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.forward.lost_request import LostRequest

_BLAME_WINDOW_S = 1.5
"""A process that was alive after it had closed a connection may still
have been about to end for this long."""
_MAX_LOST_REQUESTS = 256


class LostRequests:
    """
    Decides which lost requests the end of a target is blamed on.

    Where nothing else is sent to a target, its end may be detected only
    when its successor starts. So a request is blamed however late the
    end is detected, unless the process is known to have lived on. A
    target may also fall silent; its requests are given up then.

    Times are in seconds of any one clock.
    """

    __slots__ = ("_alive_at", "_alive_born", "_lost")

    def __init__(self) -> None:
        self._lost: list[LostRequest] = []
        self._alive_born = 0
        self._alive_at = -math.inf

    def add(self, lost: LostRequest) -> None:
        """Add a request; the oldest ones give way to newer ones."""
        lost.outlived = (
            lost.born == self._alive_born and lost.at < self._alive_at
        )
        self._lost.append(lost)
        del self._lost[:-_MAX_LOST_REQUESTS]

    def note_alive(self, born: int, at: float) -> None:
        """
        Note that a process was alive at a time.

        :param born: start time of the process.
        """
        if born != self._alive_born:
            self._alive_born, self._alive_at = born, at
        self._alive_at = max(self._alive_at, at)
        for lost in self._lost:
            if lost.born == born and lost.at < at:
                lost.outlived = True

    def take(
        self, born: int, now: float
    ) -> tuple[list[LostRequest], list[LostRequest]]:
        """
        Remove the lost requests of a process that has ended.

        :param born: start time of the process.
        :return: those that are blamed for the end, and the others.
        """
        blamed: list[LostRequest] = []
        others: list[LostRequest] = []
        for lost in self._lost:
            if lost.born != born:
                continue
            closed_lately = lost.closed and now - lost.at < _BLAME_WINDOW_S
            is_blamed = closed_lately or not lost.outlived
            (blamed if is_blamed else others).append(lost)
        self._lost = [lost for lost in self._lost if lost.born != born]
        return blamed, others
