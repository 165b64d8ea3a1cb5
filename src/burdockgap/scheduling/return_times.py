"""
When refused callers are asked to return.

Addresses the second wave of load that refused callers cause: if all are
told the same short time, they return together, before there is room.
"""

from __future__ import annotations

_MAX_S = 2.0
"""Longest time that is told; the load may have changed by then."""


class ReturnTimes:
    """
    Spreads returns over the capacity that is expected to become free.

    Each caller that is told a time takes a place; the next one is told
    a time at which the next place is free.
    """

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = 0.0

    def book(self, now: float, backlog_s: float, rate: float) -> float:
        """
        Return after how many seconds to return, and take that place.

        :param backlog_s: time until there is room for one request.
        :param rate: requests per second for which there is room then.
        """
        seconds = self.quote(now, backlog_s, rate)
        self._last = now + seconds
        return seconds

    def quote(self, now: float, backlog_s: float, rate: float) -> float:
        """Return the same without taking the place."""
        if rate <= 0:
            return _MAX_S
        soonest = max(self._last + 1 / rate, now + max(backlog_s, 0.0))
        return min(soonest - now, _MAX_S)
