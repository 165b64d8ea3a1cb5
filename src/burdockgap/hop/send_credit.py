"""How much of a long message its sender may send."""

from __future__ import annotations

import asyncio


class SendCredit:
    """Bytes that the receiver has granted and that are not sent yet."""

    __slots__ = ("_bytes", "_granted")

    def __init__(self) -> None:
        self._bytes = 0
        self._granted = asyncio.Event()

    def grant(self, size: int) -> None:
        """Add bytes."""
        self._bytes += size
        self._granted.set()

    async def take(self, max_bytes: int) -> int:
        """Wait for bytes; take as many as there are, up to a limit."""
        while not self._bytes:
            self._granted.clear()
            await self._granted.wait()
        size = min(self._bytes, max_bytes)
        self._bytes -= size
        return size
