"""Estimated request rates of a service's keys."""

from __future__ import annotations

import bisect
import itertools
import math

_SAMPLES_PER_SERVER = 30
"""Requests per server that an estimate should cover, for an error of
about 20 %."""
_DECAY_RANGE_S = (1.2, 4.0)
"""Limits of the time constant, in which an old rate falls to about a
third."""
_MIN_RATE_PER_S = 0.02
_BASE_RATE_PER_S = 1.0
"""Requests per second, spread evenly over all keys, so that keys
without a sample have a rate too."""


class KeyRates:
    """
    Exponentially decaying request rates by key, in requests per second.

    :param now: the current time, in seconds.
    :param key_count: number of keys of the service.
    """

    __slots__ = (
        "_base_rate",
        "_began_at",
        "_decay_s",
        "_decayed_at",
        "_index",
        "_rates",
    )

    def __init__(self, now: float, key_count: int) -> None:
        self._rates: dict[int, float] = {}
        self._decay_s = _DECAY_RANGE_S[0]
        self._decayed_at = now
        self._began_at: float | None = None
        self._base_rate = _BASE_RATE_PER_S / key_count
        self._index: tuple[list[int], list[float]] | None = None

    def add(self, seen: int, keys: list[int]) -> None:
        """
        Add requests.

        :param seen: number of requests.
        :param keys: a sample of their keys.
        """
        if not keys:
            return
        if self._began_at is None:
            self._began_at = self._decayed_at
        weight = seen / len(keys) / self._decay_s
        for key in keys:
            self._rates[key] = self._rates.get(key, 0.0) + weight
        self._index = None

    def decay(self, now: float, servers: int) -> None:
        """
        Decay the rates for the time since the last call.

        :param now: the current time, in seconds.
        :param servers: number of servers that share the requests; with
            more servers, more time is needed for the same error.
        """
        factor = math.exp(-(now - self._decayed_at) / self._decay_s)
        self._decayed_at = now
        wanted_s = (
            _SAMPLES_PER_SERVER * servers / max(sum(self._rates.values()), 1.0)
        )
        min_s, max_s = _DECAY_RANGE_S
        # Right after the first request, a longer time constant would
        # underestimate the rate.
        age_s = 0.0 if self._began_at is None else now - self._began_at
        self._decay_s = max(min(wanted_s, max_s, age_s), min_s)
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor > _MIN_RATE_PER_S
        }
        self._index = None

    def range_rate(self, first: int, last: int) -> float:
        """Return the total rate of a range, both ends included."""
        keys, sums = self._prefix_sums()
        low = bisect.bisect_left(keys, first)
        high = bisect.bisect_right(keys, last)
        return sums[high] - sums[low] + self._base_rate * (last - first + 1)

    def sampled_rates(self, first: int, last: int) -> list[tuple[int, float]]:
        """
        Return the sampled keys of a range with their rates.

        In order of keys; the range includes both ends.
        """
        keys, _ = self._prefix_sums()
        low = bisect.bisect_left(keys, first)
        high = bisect.bisect_right(keys, last)
        return [(key, self._rates[key]) for key in keys[low:high]]

    def _prefix_sums(self) -> tuple[list[int], list[float]]:
        if self._index is None:
            keys = sorted(self._rates)
            rates = [self._rates[key] for key in keys]
            sums = [0.0, *itertools.accumulate(rates)]
            self._index = keys, sums
        return self._index
