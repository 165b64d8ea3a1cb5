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

_RETRY_S = 0.25
_WAIT_S = 10.0
"""Long, as each call has its price; peers tell of changes meanwhile."""
_COORDINATOR_WAIT_S = 1.5
"""Bounds how long all members miss a change behind a silent
connection."""


class DocumentFollower:
    """
    Reads the documents of a topic and then waits for changes.

    :param store: the platform's store.
    :param topic: the topic that operators write.
    :param documents: takes what is read.
    :param is_coordinator: whether this member is to look more often.
    :param on_event: logs lost and regained contact.
    :ivar lost: whether the last call of the store failed.
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
        """Follow the topic for ever."""
        has_read = False
        while True:
            try:
                if not has_read:
                    await self._read_all()
                    has_read = True
                else:
                    await self._read_changes()
                self._contact(lost=False, why="")
            except OffsetOutOfRange:
                has_read = False
            except StoreError as exc:
                self._contact(lost=True, why=str(exc))
                await asyncio.sleep(_RETRY_S * random.uniform(0.6, 1.4))

    async def _read_all(self) -> None:
        newest = await self._store.newest(self._topic)
        self._documents.replace(newest.values, newest.end, "store")

    async def _read_changes(self) -> None:
        start = self._documents.end
        wait_s = _COORDINATOR_WAIT_S if self._is_coordinator() else _WAIT_S
        changes = await self._store.changes(self._topic, start, wait_s)
        if changes.records and changes.end > self._documents.end:
            self._documents.apply(changes.records, changes.end, "store")

    def _contact(self, *, lost: bool, why: str) -> None:
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
