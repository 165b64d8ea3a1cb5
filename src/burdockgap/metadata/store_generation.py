"""Detection of a store that was restored from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class StoreGeneration:
    """
    The highest generation of the store that this daemon knows.

    A store that is restored from an older copy loses acknowledged
    writes, gives out their offsets again and begins a generation.

    :ivar number: the generation, 0 if none is known yet.
    :ivar on_restored: called with the old and the new generation when a
        known one is replaced.
    """

    __slots__ = ("_changed", "number", "on_restored")

    def __init__(self) -> None:
        self.number = 0
        self.on_restored: Callable[[int, int], None] = _ignore
        self._changed = asyncio.Event()

    def note(self, number: int) -> None:
        """Take over a generation that the store or a peer has told."""
        if number <= self.number:
            return
        before, self.number = self.number, number
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        if before:
            self.on_restored(before, number)

    async def wait_above(self, number: int) -> None:
        """Wait until a generation above the given one is known."""
        while self.number <= number:
            await self._changed.wait()


def _ignore(_before: int, _after: int) -> None:
    """Do nothing before a callback is set."""
