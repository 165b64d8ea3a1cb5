"""Keeps the operators' documents up to date."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from burdockgap.metadata.store_error import OffsetOutOfRange, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.metadata.keyed_store import Changes, KeyedStore
    from burdockgap.routing.documents import Documents

_RETRY_DELAY_S = 0.25
_POLL_TIMEOUT_S = 10.0
"""Long, as each call to the store has a cost; peers report changes in
the meantime."""
_OFTEN_POLL_TIMEOUT_S = 1.5
"""Bounds how long all members miss a change if a connection to the
store is stalled."""
_LATE_AFTER_S = 0.3
"""Delay of an answer after which the read is repeated on a new
connection: the first one may have fallen silent for good. A slow store
may need that long, so the first read goes on as well."""


class DocumentFollower:
    """
    Reads the documents of a topic and then waits for changes.

    :param store: the platform's store.
    :param topic: the topic that operators write.
    :param documents: receives the documents that are read.
    :param polls_often: returns whether others rely on this member to
        learn of changes; it then polls with a shorter timeout.
    :param on_event: logs loss and recovery of the store.
    :ivar lost: whether the last call to the store failed.
    """

    __slots__ = (
        "_answered_at",
        "_documents",
        "_polls_often",
        "_outdated",
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
        polls_often: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._documents = documents
        self._polls_often = polls_often
        self._on_event = on_event
        self._outdated = asyncio.Event()
        self._answered_at = asyncio.get_running_loop().time()
        self.lost = False

    @property
    def read_age_s(self) -> float:
        """Time since the store last answered a read, in seconds."""
        return asyncio.get_running_loop().time() - self._answered_at

    def refresh(self) -> None:
        """
        End the pending read, as what it was started with has changed.

        That is the position or the generation, since the pending read
        may wait for records that will not come, or the role, which
        determines the timeout.
        """
        self._outdated.set()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        has_read = just_reread = False
        while True:
            try:
                if not has_read or self._is_generation_outdated():
                    await self._read_all()
                    has_read = just_reread = True
                    if self._is_generation_outdated():
                        # The store does not know yet what a peer knows.
                        await self._pause()
                else:
                    has_read = await self._read_changes()
                    just_reread = False
            except OffsetOutOfRange:
                has_read = False
                if just_reread:
                    await self._pause()
            except StoreError as exc:
                self._set_lost(lost=True, why=str(exc))
                await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(_RETRY_DELAY_S * random.uniform(0.6, 1.4))

    def _is_generation_outdated(self) -> bool:
        return self._store.generation.number > self._documents.position[0]

    async def _read_all(self) -> None:
        newest = await self._store.newest(self._topic)
        self._note_answer()
        generation, offset = newest.position
        self._on_event(
            "documents_listed",
            {
                "documents": len(newest.values),
                "generation": generation,
                "offset": offset,
                "known": list(self._documents.position),
            },
        )
        self._documents.replace(newest.values, newest.position, "store")

    async def _read_changes(self) -> bool:
        """
        Wait for changes and apply them.

        :return: ``False`` if the store was restored from a copy, whose
            records need not follow what is known here.
        """
        generation, start = self._documents.position
        changes = await self._poll(start)
        if changes is None:
            return True
        self._note_answer()
        if changes.generation > generation:
            return False
        if changes.generation < generation:
            await self._pause()
        elif changes.records and changes.position > self._documents.position:
            self._documents.apply(changes.records, changes.position, "store")
        return True

    async def _poll(self, start: int) -> Changes | None:
        """Return the changes; ``None`` if the read became outdated."""
        self._outdated.clear()
        wait_s = self._poll_timeout_s()
        outdated = asyncio.ensure_future(self._outdated.wait())
        reads = [self._begin_read(start, wait_s)]
        try:
            done, _ = await asyncio.wait(
                (*reads, outdated),
                # The read after a failure uses a new connection anyway.
                timeout=None if self.lost else wait_s + _LATE_AFTER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._store.close_idle()
                reads.append(self._begin_read(start, 0.0))
                await asyncio.wait(
                    (*reads, outdated), return_when=asyncio.FIRST_COMPLETED
                )
            for read in reads:
                if read.done():
                    return read.result()
            # Others know of a change that this read should have told.
            self._store.close_idle()
            return None
        finally:
            outdated.cancel()
            for read in reads:
                read.cancel()

    def _begin_read(self, start: int, wait_s: float) -> asyncio.Task[Changes]:
        return asyncio.ensure_future(
            self._store.changes(self._topic, start, wait_s)
        )

    def _poll_timeout_s(self) -> float:
        if self.lost:
            # Only a response shows whether the store was restored.
            return 0.0
        if self._polls_often():
            return _OFTEN_POLL_TIMEOUT_S
        return _POLL_TIMEOUT_S

    def _note_answer(self) -> None:
        self._answered_at = asyncio.get_running_loop().time()
        self._set_lost(lost=False, why="")

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
                "offset": self._documents.position[1],
            },
        )
