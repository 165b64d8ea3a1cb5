"""How often each key of a service is asked for."""

from __future__ import annotations

import math

_DECAY_S = 2.0
"""Time in which an old rate falls to a third."""
_LEAST = 0.02
_BASE_RATE = 1.0
"""Requests per second spread evenly over keys that no report named."""


class KeyRates:
    """Rates by key that fade, in requests per second."""

    __slots__ = ("_faded_at", "rates")

    def __init__(self, now: float) -> None:
        self.rates: dict[int, float] = {}
        self._faded_at = now

    def add(self, seen: int, keys: list[int]) -> None:
        """Count some requests, of which some keys are known."""
        if not keys:
            return
        weight = seen / len(keys) / _DECAY_S
        for key in keys:
            self.rates[key] = self.rates.get(key, 0.0) + weight

    def fade(self, now: float) -> None:
        """Let old counts lose weight."""
        factor = math.exp(-(now - self._faded_at) / _DECAY_S)
        self._faded_at = now
        self.rates = {
            key: rate * factor
            for key, rate in self.rates.items()
            if rate * factor > _LEAST
        }

    def between(self, first: int, last: int, keys_in_all: int) -> float:
        """Return the rate of a range."""
        known = sum(
            rate for key, rate in self.rates.items() if first <= key <= last
        )
        return known + _BASE_RATE * (last - first + 1) / keys_in_all
