"""The rate that a cold target is given."""

from __future__ import annotations

_BURST_S = 0.1


class ColdRate:
    """
    A token bucket that limits requests while a target is cold.

    :param rate: requests per second.
    :param until: when the target is warm, in seconds.
    """

    __slots__ = ("_filled_at", "_tokens", "rate", "until")

    def __init__(self, *, rate: float, until: float, now: float) -> None:
        self.rate = rate
        self.until = until
        self._tokens = 1.0
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if now >= self.until:
            return True
        most = max(self.rate * _BURST_S, 1.0)
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self._tokens + gained, most)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
