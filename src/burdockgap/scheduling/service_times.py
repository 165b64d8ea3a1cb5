"""
Learned service times of a server, by route.

Addresses load whose routes differ in the work that they cause: the time
that a request may wait depends on how long it will run.
"""

from __future__ import annotations

_MEAN_WEIGHT = 0.05
"""Weight of one request in the moving averages; about a dozen requests
run at once."""
_TAIL_SHARE = 0.8
"""Share of the requests that take no longer than the tail. Three in a
hundred take several times as long as the others; no wait is cut short
for their sake."""
_TAIL_STEP = 0.1
"""Step of the tail's estimate, relative to the mean."""
_MAX_ROUTES = 512
"""Bounds memory; routes beyond it use the server's overall times."""


class _Times:
    """Mean and tail of one series."""

    __slots__ = ("_count", "mean_s", "tail_s")

    def __init__(self) -> None:
        self._count = 0
        self.mean_s = 0.0
        self.tail_s = 0.0

    def note(self, seconds: float) -> None:
        """Update the estimates by one request's time."""
        self._count += 1
        # Early requests weigh more, as there is no history yet.
        weight = max(_MEAN_WEIGHT, 1 / self._count)
        self.mean_s += weight * (seconds - self.mean_s)
        if self._count == 1:
            self.tail_s = seconds
            return
        # The steps up and down cancel out at the quantile.
        step = _TAIL_STEP * self.mean_s
        if seconds > self.tail_s:
            self.tail_s += step * _TAIL_SHARE
        else:
            self.tail_s -= step * (1 - _TAIL_SHARE)


class ServiceTimes:
    """
    Mean and tail of the service times at one server.

    :param initial_s: service time that is assumed until a request has
        run, in seconds.
    """

    __slots__ = ("_overall", "_routes", "initial_s")

    def __init__(self, initial_s: float = 0.05) -> None:
        self._overall: _Times | None = None
        self._routes: dict[str, _Times] = {}
        self.initial_s = initial_s

    @property
    def mean_s(self) -> float:
        """Mean over all routes, in seconds."""
        return self._overall.mean_s if self._overall else self.initial_s

    def note(self, route: str, seconds: float) -> None:
        """Update the estimates by a request of a route."""
        if self._overall is None:
            self._overall = _Times()
        self._overall.note(seconds)
        times = self._routes.get(route)
        if times is None:
            if len(self._routes) >= _MAX_ROUTES:
                return
            times = self._routes[route] = _Times()
        times.note(seconds)

    def estimate_s(self, route: str) -> float:
        """Return the mean service time of a route, in seconds."""
        times = self._routes.get(route) or self._overall
        return times.mean_s if times else self.initial_s

    def tail_s(self, route: str) -> float:
        """Return the time that most requests of a route stay below."""
        times = self._routes.get(route) or self._overall
        if times is None:
            return self.initial_s
        return max(times.tail_s, times.mean_s)
