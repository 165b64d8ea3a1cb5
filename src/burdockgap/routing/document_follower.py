"""Keeps the operators' documents up to date."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import OffsetOutOfRange, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.metadata.keyed_store import KeyedStore
    from burdockgap.routing.documents import Documents

_RETRY_DELAY_S = 0.25
_POLL_TIMEOUT_S = 10.0
"""Long, as each call to the store has a cost; peers report changes in
the meantime."""
_COORDINATOR_POLL_TIMEOUT_S = 1.5
"""Bounds how long all members miss a change if a connection to the
store is stalled."""


class DocumentFollower:
    """
    Reads the documents of a topic and then waits for changes.

    :param store: the platform's store.
    :param topic: the topic that operators write.
    :param documents: receives the documents that are read.
    :param is_coordinator: returns whether this member is the
        coordinator, which polls with a shorter timeout.
    :param on_event: logs loss and recovery of the store.
    :ivar lost: whether the last call to the store failed.
    """

    __slots__ = (
        "_documents",
        "_is_coordinator",
        "_on_event",
        "_store",
        "_topic",
        "lost",
    )

    def __init__(
        self,
        *,
        store: KeyedStore,
        topic: str,
        documents: Documents,
        is_coordinator: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._documents = documents
        self._is_coordinator = is_coordinator
        self._on_event = on_event
        self.lost = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        has_read = False
        while True:
            try:
                if not has_read:
                    await self._read_all()
                    has_read = True
                else:
                    await self._read_changes()
                self._set_lost(lost=False, why="")
            except OffsetOutOfRange:
                has_read = False
            except StoreError as exc:
                self._set_lost(lost=True, why=str(exc))
                await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.6, 1.4))

    async def _read_all(self) -> None:
        newest = await self._store.newest(self._topic)
        self._documents.replace(newest.values, newest.end, "store")

    async def _read_changes(self) -> None:
        start = self._documents.end
        wait_s = (
            _COORDINATOR_POLL_TIMEOUT_S
            if self._is_coordinator()
            else _POLL_TIMEOUT_S
        )
        changes = await self._store.changes(self._topic, start, wait_s)
        if changes.records and changes.end > self._documents.end:
            self._documents.apply(changes.records, changes.end, "store")

    def _set_lost(self, *, lost: bool, why: str) -> None:
        if lost == self.lost:
            return
        self.lost = lost
        self._on_event(
            "dependency",
            {
                "name": "store",
                "state": "lost" if lost else "regained",
                "why": why,
                "offset": self._documents.end,
            },
        )
