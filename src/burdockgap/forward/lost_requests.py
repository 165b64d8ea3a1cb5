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

    A response shows only that the process at the end of its connection
    lived since that was opened. If it was opened after the request was
    lost, it may lead to the next process.

    Times are in seconds of any one clock.
    """

    __slots__ = (
        "_alive_at",
        "_alive_born",
        "_announced_at",
        "_connected_since",
        "_lost",
    )

    def __init__(self) -> None:
        self._lost: list[LostRequest] = []
        self._alive_born = 0
        self._connected_since = self._alive_at = -math.inf
        self._announced_at = -math.inf

    def add(self, lost: LostRequest) -> None:
        """Add a request; the oldest ones give way to newer ones."""
        lost.outlived = lost.born == self._alive_born and (
            lost.at < self._announced_at
            or self._connected_since <= lost.at < self._alive_at
        )
        self._lost.append(lost)
        del self._lost[:-_MAX_LOST_REQUESTS]

    def note_announced(self, born: int, at: float) -> None:
        """
        Note that a process said that it was alive at a time.

        :param born: start time of the process.
        """
        self._begin(born)
        self._announced_at = max(self._announced_at, at)
        self._note_outlived(-math.inf, at)

    def note_responded(
        self, born: int, connected_at: float, at: float
    ) -> None:
        """
        Note that a process was alive at a time, as it responded.

        :param born: start time of the process.
        :param connected_at: when the connection was opened.
        """
        self._begin(born)
        if connected_at > self._alive_at:
            # Possibly another process than that of earlier connections.
            self._connected_since = connected_at
        self._connected_since = min(self._connected_since, connected_at)
        self._alive_at = max(self._alive_at, at)
        self._note_outlived(self._connected_since, at)

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

    def _begin(self, born: int) -> None:
        if born != self._alive_born:
            self._alive_born = born
            self._connected_since = self._alive_at = -math.inf
            self._announced_at = -math.inf

    def _note_outlived(self, since: float, at: float) -> None:
        for lost in self._lost:
            if lost.born == self._alive_born and since <= lost.at < at:
                lost.outlived = True
