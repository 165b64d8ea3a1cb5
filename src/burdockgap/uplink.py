"""What this machine sends over its link to the network."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_PART_BYTES = 16 * 1024
"""Messages above this size are sent in parts of it, so that a small one
waits for one part at most: 26 ms at 5 Mbit/s."""
_PART_S = 0.02
"""Parts are larger on faster links, as each costs processor time."""
_USABLE = 0.85
"""Share of the link for what is counted; the rest is for packets'
headers, datagrams and the store."""
_AHEAD_S = 0.005
"""How far the link may be behind when the next part is handed to it."""


class Uplink:
    """
    Keeps large messages from delaying small ones.

    A message handed to the kernel is ahead of all later ones, on every
    connection of the machine. So small messages are sent at once and
    only counted, and parts of large ones are handed over, first come
    first served, no faster than the link can send everything.

    :param bytes_per_s: what the link can send.
    """

    __slots__ = (
        "_bytes_per_s",
        "_free_at",
        "_loop",
        "_queue",
        "_waiting_bytes",
        "part_bytes",
    )

    def __init__(self, bytes_per_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = bytes_per_s * _USABLE
        self._free_at = 0.0
        self._queue: deque[asyncio.Future[None]] = deque()
        self._waiting_bytes = 0
        self.part_bytes = max(_PART_BYTES, int(bytes_per_s * _PART_S))

    @property
    def backlog_s(self) -> float:
        """Seconds until all that is to be sent has been sent."""
        behind_s = max(self._free_at - self._loop.time(), 0.0)
        return behind_s + self._waiting_bytes / self._bytes_per_s

    def sending_s(self, size: int) -> float:
        """Return how long the link takes for some bytes, in seconds."""
        return size / self._bytes_per_s

    def count(self, size: int) -> None:
        """Count bytes that are sent at once."""
        now = self._loop.time()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s

    async def send(self, data: bytes, write: Callable[[bytes], None]) -> None:
        """
        Send a large message in parts when the link is free for it.

        :param write: takes one part, at once.
        """
        turn: asyncio.Future[None] = self._loop.create_future()
        self._queue.append(turn)
        self._waiting_bytes += len(data)
        left = len(data)
        try:
            if self._queue[0] is not turn:
                await turn
            for start in range(0, len(data), self.part_bytes):
                await self._wait_free()
                part = data[start : start + self.part_bytes]
                write(part)
                self.count(len(part))
                self._waiting_bytes -= len(part)
                left -= len(part)
        finally:
            self._waiting_bytes -= left
            self._queue.remove(turn)
            if self._queue and not self._queue[0].done():
                self._queue[0].set_result(None)

    async def _wait_free(self) -> None:
        while True:
            pause_s = self._free_at - self._loop.time() - _AHEAD_S
            if pause_s <= 0:
                return
            await asyncio.sleep(pause_s)
