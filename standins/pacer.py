"""A rate limiter that spaces calls evenly."""

from __future__ import annotations

import anyio


class Pacer:
    """
    Delays calls so that they are evenly spaced.

    :param rate: calls per second, 0 for no limit.
    """

    __slots__ = ("_interval_s", "_next_at")

    def __init__(self, rate: float) -> None:
        self._interval_s = 1 / rate if rate else 0.0
        self._next_at = 0.0

    async def wait_turn(self) -> None:
        """Reserve the next time slot and wait until it starts."""
        now = anyio.current_time()
        start_at = max(now, self._next_at)
        self._next_at = start_at + self._interval_s
        if start_at > now:
            await anyio.sleep(start_at - now)
