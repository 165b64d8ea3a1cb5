"""The rate limit of requests to a cold target."""

from __future__ import annotations

_BURST_S = 0.1


class TokenBucket:
    """
    A token bucket that allows bursts of 0.1 s of its rate.

    :param rate: requests per second.
    :param now: the current time, in seconds.
    """

    __slots__ = ("_filled_at", "_capacity", "_rate", "_tokens")

    def __init__(self, *, rate: float, now: float) -> None:
        self._rate = rate
        self._capacity = max(rate * _BURST_S, 1.0)
        self._tokens = 1.0
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take a token and return whether there was one."""
        refill = (now - self._filled_at) * self._rate
        self._tokens = min(self._tokens + refill, self._capacity)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
