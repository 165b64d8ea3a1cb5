"""The limit of requests that a target names itself."""

from __future__ import annotations

_BURST_S = 0.5
"""Requests that callers send in a burst may follow each other closely
as long as the rate holds over seconds."""
_MIN_RATE = 0.5
"""Lowest rate in requests per second. Only a response can withdraw or
raise a limit, so some request has to be sent."""
_MAX_RETURN_S = 2.0
"""Longest time after which a refused request is asked to return; the
limit may have changed by then."""


class RateLimit:
    """
    A token bucket whose rate the target may change at any time.

    All times are seconds of one clock.

    :ivar named_rate: requests per second as the target names them,
        ``None`` for no limit.
    :ivar rate: requests per second that may be sent, ``None`` for no
        limit.
    """

    __slots__ = (
        "_filled_at",
        "_return_at",
        "_tokens",
        "named_rate",
        "rate",
    )

    def __init__(self) -> None:
        self.named_rate: float | None = None
        self.rate: float | None = None
        self._tokens = 0.0
        self._filled_at = 0.0
        self._return_at = 0.0

    def change(self, rate: float | None, now: float) -> None:
        """Set the rate; a limit that was not in force starts empty."""
        self.named_rate = rate
        if rate is not None:
            rate = max(rate, _MIN_RATE)
        if self.rate is None:
            self._tokens, self._filled_at = 0.0, now
            self._return_at = now
        else:
            self._refill(now)
        self.rate = rate
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> bool:
        """Take a token and return whether there was one."""
        if self.rate is None:
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """
        Return the time until a request may be sent.

        :param ahead: requests that are sent before it.
        """
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(ahead + 1 - self._tokens, 0.0) / self.rate

    def return_after_s(self, now: float, ahead: int = 0) -> float:
        """
        Return when a refused request should be sent again.

        Each one gets a time of its own, so that the requests that
        return do not exceed the rate.

        :param ahead: requests that are sent before it.
        """
        if self.rate is None:
            return 0.0
        self._return_at = min(
            max(
                self._return_at + 1 / self.rate, now + self.wait_s(now, ahead)
            ),
            now + _MAX_RETURN_S,
        )
        return self._return_at - now

    @property
    def _capacity(self) -> float:
        return max((self.rate or 0.0) * _BURST_S, 1.0)

    def _refill(self, now: float) -> None:
        added = (now - self._filled_at) * (self.rate or 0.0)
        self._tokens = min(self._tokens + added, self._capacity)
        self._filled_at = now
