"""
Admission of requests whose runs make calls that are refused.

Addresses a service that has room while one that its runs call has none:
each request that is started there fails after its work is done, and its
calls take the room of those that would have succeeded.
"""

from __future__ import annotations

import math

_TIME_CONSTANT_S = 1.0
"""Time in which the weight of a run falls to a third. A wave of load
lasts some seconds."""
_MAX_RATIO = 1.5
"""Requests that are started for each one whose calls succeed. Above 1,
so that failures of other causes refuse nobody; with 1.2 it took 8 s
until all requests were started again after a shortage."""
_PRIOR_RUNS = 2.0
"""Weight of the assumption that calls succeed; few runs tell little."""


class _Runs:
    """
    Recent runs of one route.

    :ivar made: runs that made calls, and requests that were refused.
    :ivar succeeded: runs whose calls all succeeded.
    :ivar credit: part of a request that may be refused by now.
    """

    __slots__ = ("at", "credit", "made", "succeeded")

    def __init__(self, now: float) -> None:
        self.at = now
        self.made = 0.0
        self.succeeded = 0.0
        self.credit = 0.0

    def decay(self, now: float) -> None:
        """Reduce the counts for the time since the last call."""
        factor = math.exp(-max(now - self.at, 0.0) / _TIME_CONSTANT_S)
        self.at = now
        self.made *= factor
        self.succeeded *= factor


class NestedThrottle:
    """
    Refuses requests in proportion to the runs whose calls failed.

    Times are seconds of one clock.
    """

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _Runs] = {}

    def note(self, route: str, now: float, *, succeeded: bool) -> None:
        """
        Count a run that made calls.

        :param succeeded: whether all of its calls did.
        """
        runs = self._routes.setdefault(route, _Runs(now))
        runs.decay(now)
        runs.made += 1
        runs.succeeded += succeeded

    def admits(self, route: str, now: float) -> bool:
        """Return whether a new request of a route may be started."""
        runs = self._routes.get(route)
        if runs is None:
            return True
        runs.decay(now)
        excess = runs.made - _MAX_RATIO * runs.succeeded
        runs.credit += max(excess / (runs.made + _PRIOR_RUNS), 0.0)
        if runs.credit < 1:
            return True
        runs.credit -= 1
        runs.made += 1
        return False
