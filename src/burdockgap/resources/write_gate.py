"""The state of a transport's write buffer."""

from __future__ import annotations

import asyncio


class WriteGate:
    """
    Tells whether a transport has passed on what was written to it.

    Its methods are called by the protocol's ``pause_writing`` and
    ``resume_writing``, with a high-water mark of 0.
    """

    __slots__ = ("_drained",)

    def __init__(self) -> None:
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def is_open(self) -> bool:
        """Whether nothing that was written is left in the buffer."""
        return self._drained.is_set()

    def pause(self) -> None:
        """Note that the buffer holds bytes."""
        self._drained.clear()

    def resume(self) -> None:
        """Note that the buffer is empty, or that nothing is sent."""
        self._drained.set()

    async def wait(self) -> None:
        """Return when the buffer is empty."""
        await self._drained.wait()
