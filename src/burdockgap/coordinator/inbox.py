"""Requests and reports that the coordinator has not recorded yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.coordinator.load_averages import LoadAverages

if TYPE_CHECKING:
    from burdockgap.ownership.messages.activation_report import (
        ActivationReport,
    )
    from burdockgap.peer.messages.join import Join


class Inbox:
    """
    Requests and reports that wait for the coordinator's next round.

    :ivar joins: join requests by session id.
    :ivar activations: reports of activated units.
    :ivar leaving: ids of sessions whose units are to be moved away.
    :ivar left: ids of sessions that have released all their units.
    :ivar loads: average load of units and keys.
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
        self.loads = LoadAverages()
        self._changed = anyio.Event()

    def notify(self) -> None:
        """Wake the task that waits for the next round."""
        self._changed.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a notification, at most ``timeout_s`` seconds."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()
        self._changed = anyio.Event()

    def clear(self) -> None:
        """Drop everything of an earlier term except the loads."""
        self.joins.clear()
        self.activations.clear()
        self.leaving.clear()
        self.left.clear()
