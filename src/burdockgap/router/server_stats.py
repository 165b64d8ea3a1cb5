"""Statistics of one server, as observed by this router."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.router.typical_latency import TypicalLatency

_DECREASE_WEIGHT = 0.3
_INCREASE_WEIGHT = 0.5
_FAILURE_PENALTY = 10.0
_FAILURE_PENALTY_HALF_LIFE_S = 1.0
_UNREACHABLE_PERIOD_S = 1.0
_EXCESS_HALF_LIFE_S = 0.5
_HALF_LIFE_DOUBLINGS_MAX = 6
_LOAD_HALF_LIFE_S = 0.5
_LATENCY_MIN_S = 0.001


class ServerStats:
    """
    Observed load and latency of one server.

    The waiting time of an unanswered attempt is a lower bound of the
    latency, so a server that stops answering is avoided before an
    attempt fails. Observations decay with time: a slow server is tried
    again after about two seconds. The delay doubles each time that the
    server is still slow.

    :param clock: source of elapsed time.
    :param typical: typical latency of the server's service.
    :param limit: concurrency limit of the server, used until a reply
        reports it.
    :ivar in_flight: requests of this router that the server has now.
    """

    __slots__ = (
        "_clock",
        "_failed_at",
        "_latency_s",
        "_limit",
        "_measured_at",
        "_reported_in_flight",
        "_reported_at",
        "_slow_probes",
        "_tokens",
        "_typical",
        "_unanswered",
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
        self._reported_in_flight = 0
        self._reported_at = -math.inf
        self._failed_at = -math.inf
        self._tokens = itertools.count()
        self._unanswered: dict[int, float] = {}
        self.in_flight = 0

    def begin(self) -> int:
        """Record the start of an attempt; return its token."""
        token = next(self._tokens)
        self._unanswered[token] = self._clock.now()
        self.in_flight += 1
        return token

    def record_answer(self, token: int) -> None:
        """Record that the head of an attempt's answer arrived."""
        now = self._clock.now()
        started = self._unanswered.pop(token, now)
        self._update_latency(started, now)
        self._typical.record_answer(now - started)
        self._failed_at = -math.inf

    def end(self, token: int) -> None:
        """
        Record the end of an attempt, whether answered or not.

        If there was no answer, the waiting time is a lower bound of the
        latency.
        """
        self.in_flight -= 1
        now = self._clock.now()
        started = self._unanswered.pop(token, None)
        if started is not None and now - started > self._latency_s:
            self._update_latency(started, now)

    def record_unreachable(self) -> None:
        """Record that an attempt found the server unreachable."""
        self._failed_at = self._clock.now()

    def recently_unreachable(self, now: float) -> bool:
        """Tell whether the server was unreachable a short time ago."""
        return now - self._failed_at < _UNREACHABLE_PERIOD_S

    def record_load(self, *, in_flight: int, limit: int) -> None:
        """Record the load and the limit that a reply reported."""
        self._reported_in_flight = in_flight
        self._reported_at = self._clock.now()
        self._limit = max(limit, 1)

    def latency_s(self, now: float) -> float:
        """Return the latency that the next request can expect."""
        waited_s = 0.0
        if self._unanswered:
            waited_s = now - next(iter(self._unanswered.values()))
        return max(self._estimated_s(now), waited_s, _LATENCY_MIN_S)

    def load_share(self, now: float) -> float:
        """Return the requests in flight as a share of the limit."""
        weight = math.exp2((self._reported_at - now) / _LOAD_HALF_LIFE_S)
        return (
            max(self.in_flight, self._reported_in_flight * weight)
            / self._limit
        )

    def penalized_latency_s(self, now: float) -> float:
        """Return the latency, increased after a recent failure."""
        age_s = now - self._failed_at
        penalty = _FAILURE_PENALTY * math.exp2(
            -age_s / _FAILURE_PENALTY_HALF_LIFE_S
        )
        return self.latency_s(now) * (1.0 + penalty)

    def cost(self, now: float) -> float:
        """Return the expected cost of one more request."""
        congestion = (1.0 + self.load_share(now)) ** 2
        return self.penalized_latency_s(now) * congestion

    def _estimated_s(self, now: float) -> float:
        if self._unanswered and self._latency_s > 0.0:
            # No decay while an attempt is unanswered, so that only one
            # attempt at a time probes whether the server is fast again.
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
        doublings = min(self._slow_probes, _HALF_LIFE_DOUBLINGS_MAX)
        half_life_s = _EXCESS_HALF_LIFE_S * 2**doublings
        return typical_s + excess_s * math.exp2(-age_s / half_life_s)

    def _update_latency(self, started: float, now: float) -> None:
        latency_s = now - started
        previous_s = self._decayed_s(started) or latency_s
        self._count_probe(started, now)
        self._measured_at = now
        change_s = latency_s - previous_s
        weight = _INCREASE_WEIGHT if change_s > 0 else _DECREASE_WEIGHT
        self._latency_s = previous_s + weight * change_s

    def _count_probe(self, started: float, now: float) -> None:
        if not self._typical.is_slow(now - started):
            self._slow_probes = 0
        elif started > self._measured_at:
            self._slow_probes += 1
