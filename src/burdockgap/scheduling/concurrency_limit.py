"""
The concurrency that a server handles well.

Addresses servers that serve fewer requests per second with all slots in
use than with some of them, and servers that other work slows down for
some seconds, which must not look the same.
"""

from __future__ import annotations

import math
import statistics
from collections import deque

from burdockgap.scheduling.level_times import LevelTimes
from burdockgap.scheduling.running_request import RunningRequest

_MIN_SAMPLES = 40
"""Samples that are required of each of two levels that are compared."""
_LOWER_MARGIN = 2.0
_RAISE_MARGIN = 0.5
"""Standard errors by which the throughput at the lower level has to be
higher for the limit to be lowered, and to stay so. Three comparisons
per second of equal levels would otherwise change it by chance."""
_MAX_RELATIVE = 4.0
"""Longer times count as this; 3 requests in 100 take 7 times the mean,
and would determine the variance alone."""
_STATE_WEIGHT = 0.15
"""Weight of one request in the state of the server that is common to
all levels. While a server is slow for a reason other than concurrency,
its requests pile up, so that slow times would count for high levels
only."""
_RECENT = 50
_SLOW = 2.5
_RECOVERED = 1.5
"""Medians relative to the usual time at which a server counts as slow
and no longer so. Between them nothing changes."""
_RECENT_S = 0.5
_RECENT_TIMES = 3.0
"""Age above which a response tells nothing of the server's state: the
longer of 0.5 s and so many usual service times."""
_MIN_RECENT = 3
"""Fewer requests may all be long ones."""
_MAX_SLOW_S = 10.0
"""Time after which a slower server is taken for its usual state; all
levels are measured anew then."""
_RETRIAL_S = 20.0
"""Time after which a lowered limit is raised by one, as the level above
is not measured while the limit is in force."""


class ConcurrencyLimit:
    """
    Learns a server's limit from the throughput at each level.

    The throughput at a level is the level divided by the mean service
    time at it (Little's law). Service times count relative to their
    route's mean, so that the mix of requests has no effect.

    Times are seconds of one clock.

    :ivar limit: slots to use, ``None`` for all.
    """

    __slots__ = (
        "_area",
        "_area_at",
        "_changed_at",
        "_last_slowness",
        "_levels",
        "_recent",
        "_routes",
        "_running",
        "_slow_since",
        "_slowdown",
        "_state",
        "limit",
    )

    def __init__(self) -> None:
        self.limit: int | None = None
        self._levels: dict[int, LevelTimes] = {}
        self._routes: dict[str, LevelTimes] = {}
        self._recent: deque[tuple[float, float]] = deque(maxlen=_RECENT)
        self._running: set[RunningRequest] = set()
        self._slow_since: float | None = None
        self._changed_at = 0.0
        self._state = 1.0
        self._slowdown = 1.0
        self._last_slowness = 1.0
        self._area = 0.0
        self._area_at = 0.0

    def slots(self, announced: int) -> int:
        """Return the slots to use, from 1 to the announced ones."""
        if self.limit is not None and self.limit >= announced:
            # No request is measured above the announced slots, so that
            # such a limit would never be lowered again.
            self.limit = None
        return announced if self.limit is None else max(self.limit, 1)

    def began(self, now: float, route: str) -> RunningRequest:
        """Note that a request is sent to the server."""
        self._integrate(now)
        request = RunningRequest(route, now, self._area)
        self._running.add(request)
        return request

    def failed(self, now: float, request: RunningRequest) -> None:
        """Note the end of a request whose time tells nothing."""
        self._integrate(now)
        self._running.discard(request)

    def succeeded(
        self, now: float, request: RunningRequest, slowness: float
    ) -> None:
        """
        Note a response.

        :param slowness: the slowdown that the server reported; its part
            of the time does not depend on the concurrency.
        """
        self._integrate(now)
        self._running.discard(request)
        took_s = max(now - request.began, 1e-6)
        level = max(round((self._area - request.area) / took_s), 1)
        self._last_slowness = max(slowness, 1e-3)
        service_s = took_s / self._last_slowness
        route = self._routes.setdefault(request.route, LevelTimes())
        usual_s = route.mean
        if usual_s <= 0:
            route.note(service_s)
            return
        known = self._levels.get(level)
        relative = service_s / usual_s
        expected = 1.0
        if known is not None and known.count >= _MIN_SAMPLES:
            expected = known.mean
        self._recent.append((now, relative / expected))
        self._update_slow(now)
        if self._slow_since is not None:
            return
        times = self._levels.setdefault(level, LevelTimes())
        relative = min(relative, _MAX_RELATIVE)
        route.note(relative * usual_s)
        times.note(relative / self._state)
        error = min(relative / times.mean, _MAX_RELATIVE) - self._state
        self._state += _STATE_WEIGHT * error
        self._update_limit(now)

    def slowdown(self, now: float) -> float:
        """
        Return how many times longer than usual requests take now.

        :return: 1.0 unless the server is slowed down.
        """
        self._update_slow(now)
        if self._slow_since is None:
            return 1.0
        return self._slowdown

    def _integrate(self, now: float) -> None:
        self._area += len(self._running) * (now - self._area_at)
        self._area_at = now

    def _overdue(self, now: float) -> list[float]:
        """Return the relative times of requests that run for long."""
        overdue = []
        for request in self._running:
            route = self._routes.get(request.route)
            if route is None or not route.count:
                continue
            relative = (now - request.began) / self._last_slowness / route.mean
            if relative >= _SLOW:
                overdue.append(relative)
        return overdue

    def _update_slow(self, now: float) -> None:
        usual_s = max(
            (route.mean for route in self._routes.values()), default=0
        )
        span_s = max(_RECENT_S, _RECENT_TIMES * usual_s)
        recent = [
            relative for at, relative in self._recent if now - at < span_s
        ]
        recent += self._overdue(now)
        if not recent:
            self._slow_since = None
        if len(recent) >= _MIN_RECENT:
            median = statistics.median(recent)
            if median >= _SLOW:
                if self._slow_since is None:
                    self._slow_since = now
                self._slowdown = median
            elif median <= _RECOVERED:
                self._slow_since = None
        if (
            self._slow_since is not None
            and now - self._slow_since > _MAX_SLOW_S
        ):
            self._levels.clear()
            self._routes.clear()
            self._slow_since = None
            self._state = 1.0

    def _update_limit(self, now: float) -> None:
        top = self.limit or max(self._levels)
        if self._is_higher(top - 1, top, _LOWER_MARGIN):
            self.limit = top - 1
            self._changed_at = now
        elif self.limit is not None and (
            self._is_higher(top + 1, top, _RAISE_MARGIN)
            or now - self._changed_at > _RETRIAL_S
        ):
            self._levels.pop(top + 1, None)
            self.limit = top + 1
            self._changed_at = now

    def _is_higher(self, level: int, than: int, margin: float) -> bool:
        """Return whether a level's throughput exceeds another's."""
        times, others = self._levels.get(level), self._levels.get(than)
        if times is None or others is None or level < 1:
            return False
        if min(times.count, others.count) < _MIN_SAMPLES:
            return False
        error = math.hypot(
            times.error / times.mean, others.error / others.mean
        )
        least = than / others.mean * (1 + margin * error)
        return level / times.mean > least
