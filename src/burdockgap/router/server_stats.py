"""What this router has seen of one server."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.router.typical_latency import TypicalLatency

_FALL_WEIGHT = 0.3
_RISE_WEIGHT = 0.5
_PENALTY = 10.0
_PENALTY_HALF_LIFE_S = 1.0
_AVOIDED_S = 1.0
_SLOW_HALF_LIFE_S = 0.5
_MAX_DOUBLINGS = 6
_LOAD_HALF_LIFE_S = 0.5
_LATENCY_FLOOR_S = 0.001


class ServerStats:
    """
    Load and latency of one server as its replies showed them.

    An attempt that waits for its answer counts as a latency of at least
    the time it has waited, so a server that stops answering is avoided
    before anything has failed. What was seen loses weight with time: a
    slow server is tried again after about two seconds, and each time
    that it is still slow after twice as long as before.

    :param clock: source of elapsed time.
    :param typical: what is usual for the server's service.
    :param limit: requests that the server runs at once, until its
        first reply says so.
    :ivar in_flight: requests that this router has there now.
    """

    __slots__ = (
        "_clock",
        "_failed_at",
        "_latency_s",
        "_limit",
        "_measured_at",
        "_reported",
        "_reported_at",
        "_slow_probes",
        "_tokens",
        "_typical",
        "_waiting",
        "in_flight",
    )

    def __init__(
        self, *, clock: Clock, typical: TypicalLatency, limit: int
    ) -> None:
        self._clock = clock
        self._typical = typical
        self._limit = max(limit, 1)
        self._latency_s = 0.0
        self._measured_at = -math.inf
        self._slow_probes = 0
        self._reported = 0
        self._reported_at = -math.inf
        self._failed_at = -math.inf
        self._tokens = itertools.count()
        self._waiting: dict[int, float] = {}
        self.in_flight = 0

    def begin(self) -> int:
        """Account for an attempt; return its token."""
        token = next(self._tokens)
        self._waiting[token] = self._clock.now()
        self.in_flight += 1
        return token

    def answered(self, token: int) -> None:
        """Account for the head of an attempt's answer."""
        now = self._clock.now()
        started = self._waiting.pop(token, now)
        self._measured(started, now)
        self._typical.answered(now - started)
        self._failed_at = -math.inf

    def end(self, token: int) -> None:
        """
        Account for the end of an attempt, answered or not.

        The time without an answer is a lower bound of the latency.
        """
        self.in_flight -= 1
        now = self._clock.now()
        started = self._waiting.pop(token, None)
        if started is not None and now - started > self._latency_s:
            self._measured(started, now)

    def failed(self) -> None:
        """Account for an attempt that found the server unreachable."""
        self._failed_at = self._clock.now()

    def is_avoided(self, now: float) -> bool:
        """Tell whether the server was unreachable just now."""
        return now - self._failed_at < _AVOIDED_S

    def record_load(self, *, in_flight: int, limit: int) -> None:
        """Account for the load that rode on a reply."""
        self._reported = in_flight
        self._reported_at = self._clock.now()
        self._limit = max(limit, 1)

    def latency_s(self, now: float) -> float:
        """Return the latency that the next request has to expect."""
        waited_s = 0.0
        if self._waiting:
            waited_s = now - next(iter(self._waiting.values()))
        return max(self._estimate_s(now), waited_s, _LATENCY_FLOOR_S)

    def load_share(self, now: float) -> float:
        """Return the requests there as a share of its limit."""
        weight = math.exp2((self._reported_at - now) / _LOAD_HALF_LIFE_S)
        return max(self.in_flight, self._reported * weight) / self._limit

    def slowness_s(self, now: float) -> float:
        """Return the latency, made worse by a recent failure."""
        age_s = now - self._failed_at
        penalty = _PENALTY * math.exp2(-age_s / _PENALTY_HALF_LIFE_S)
        return self.latency_s(now) * (1.0 + penalty)

    def cost(self, now: float) -> float:
        """Return the expected cost of one more request."""
        crowding = (1.0 + self.load_share(now)) ** 2
        return self.slowness_s(now) * crowding

    def _estimate_s(self, now: float) -> float:
        if self._waiting and self._latency_s > 0.0:
            # One attempt at a time finds out whether it is fast again.
            return self._latency_s
        return self._decayed_s(now)

    def _decayed_s(self, now: float) -> float:
        typical_s = self._typical.value_s
        if self._latency_s == 0.0:
            return typical_s
        excess_s = self._latency_s - typical_s
        if excess_s <= 0.0:
            return self._latency_s
        age_s = now - self._measured_at
        doublings = min(self._slow_probes, _MAX_DOUBLINGS)
        half_life_s = _SLOW_HALF_LIFE_S * 2**doublings
        return typical_s + excess_s * math.exp2(-age_s / half_life_s)

    def _measured(self, started: float, now: float) -> None:
        latency_s = now - started
        before_s = self._decayed_s(started) or latency_s
        self._count_probe(started, now)
        self._measured_at = now
        change_s = latency_s - before_s
        weight = _RISE_WEIGHT if change_s > 0 else _FALL_WEIGHT
        self._latency_s = before_s + weight * change_s

    def _count_probe(self, started: float, now: float) -> None:
        if not self._typical.is_slow(now - started):
            self._slow_probes = 0
        elif started > self._measured_at:
            self._slow_probes += 1
