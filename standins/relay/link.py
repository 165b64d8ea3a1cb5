"""What happens to all that one end sends to another."""

from __future__ import annotations

import anyio


class Link:
    """
    One direction between two ends.

    :ivar delay_s: seconds by which it delays.
    """

    __slots__ = ("_healed", "delay_s")

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._healed: anyio.Event | None = None

    @property
    def is_cut(self) -> bool:
        """Whether nothing passes."""
        return self._healed is not None

    def cut(self) -> None:
        """Let nothing pass until :meth:`heal`."""
        if self._healed is None:
            self._healed = anyio.Event()

    def heal(self) -> None:
        """Let everything pass without delay."""
        self.delay_s = 0.0
        if self._healed is not None:
            self._healed.set()
            self._healed = None

    async def wait_open(self) -> None:
        """Wait until something may pass, then for the delay."""
        while self._healed is not None:
            await self._healed.wait()
        await anyio.sleep(self.delay_s)
