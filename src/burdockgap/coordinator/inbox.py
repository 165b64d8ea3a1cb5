"""What the coordinator was told and has not recorded yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.coordinator.load_book import LoadBook

if TYPE_CHECKING:
    from burdockgap.ownership.messages.activation_report import (
        ActivationReport,
    )
    from burdockgap.peer.messages.join import Join


class Inbox:
    """
    Joins, reports and proofs that wait for the next round.

    :ivar joins: joins by session id.
    :ivar activations: reports of activated units.
    :ivar leaving: sessions that want their units moved away.
    :ivar left: sessions that hold nothing any more.
    :ivar loads: load of units and keys.
    """

    __slots__ = (
        "_changed",
        "activations",
        "joins",
        "leaving",
        "left",
        "loads",
    )

    def __init__(self) -> None:
        self.joins: dict[int, Join] = {}
        self.activations: list[ActivationReport] = []
        self.leaving: set[int] = set()
        self.left: set[int] = set()
        self.loads = LoadBook()
        self._changed = anyio.Event()

    def notify(self) -> None:
        """Wake the coordinator."""
        self._changed.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a notification, at most ``timeout_s`` seconds."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()
        self._changed = anyio.Event()

    def clear(self) -> None:
        """Forget everything that belongs to a term that is over."""
        self.joins.clear()
        self.activations.clear()
        self.leaving.clear()
        self.left.clear()
