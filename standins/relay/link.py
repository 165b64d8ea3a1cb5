"""The simulated network link from one endpoint to another."""

from __future__ import annotations

import anyio


class Link:
    """
    One direction between two endpoints.

    :ivar delay_s: added latency, in seconds.
    """

    __slots__ = ("_healed", "delay_s")

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._healed: anyio.Event | None = None

    @property
    def is_cut(self) -> bool:
        """Whether the link is cut."""
        return self._healed is not None

    def cut(self) -> None:
        """Block all traffic until :meth:`heal`."""
        if self._healed is None:
            self._healed = anyio.Event()

    def heal(self) -> None:
        """Let all traffic pass, without added latency."""
        self.delay_s = 0.0
        if self._healed is not None:
            self._healed.set()
            self._healed = None

    async def wait_open(self) -> None:
        """Wait until the link is not cut, then for the latency."""
        while self._healed is not None:
            await self._healed.wait()
        await anyio.sleep(self.delay_s)
