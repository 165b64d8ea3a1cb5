"""A limit on the rate of calls."""

from __future__ import annotations

import anyio


class Pacer:
    """
    Spaces calls evenly.

    :param rate: calls a second, 0 for no limit.
    """

    __slots__ = ("_interval_s", "_next_at")

    def __init__(self, rate: float) -> None:
        self._interval_s = 1 / rate if rate else 0.0
        self._next_at = 0.0

    async def wait_turn(self) -> None:
        """Wait until the next call may go ahead."""
        now = anyio.current_time()
        turn = max(now, self._next_at)
        self._next_at = turn + self._interval_s
        if turn > now:
            await anyio.sleep(turn - now)
