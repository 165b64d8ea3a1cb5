"""Keeps quarantined requests in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.sidecar.stored_record import StoredRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.suspect_book import SuspectBook
    from burdockgap.metadata.keyed_store import KeyedStore

_KEY_PREFIX = "suspects/"


class SuspectStore:
    """
    Writes the requests that are quarantined for crashes of this target.

    They stay quarantined after the loss of all daemons at once. Other
    suspects are not stored; one more crash makes them known again.

    :param store: the platform's store.
    :param name: name of this daemon, part of its record's key.
    :param suspects: the requests suspected of crashing targets.
    :param on_event: logs an event with its fields.
    """

    __slots__ = ("_key", "_on_event", "_read", "_record", "_suspects")

    def __init__(
        self,
        *,
        store: KeyedStore,
        name: str,
        suspects: SuspectBook,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._key = _KEY_PREFIX + name
        self._read = asyncio.Event()
        self._suspects = suspects
        self._on_event = on_event
        self._record = StoredRecord(
            store=store,
            key=self._key,
            encode=suspects.encode_own,
            on_failure=lambda why: on_event(
                "suspects_unwritten", {"why": why}
            ),
        )
        suspects.on_own_change = self._record.changed

    async def run(self) -> None:
        """Write each change, once earlier records were read."""
        await self._read.wait()
        await self._record.run()

    def adopt(self, records: dict[str, bytes]) -> None:
        """Add the suspects in the records of all daemons, by key."""
        for key, data in records.items():
            if not key.startswith(_KEY_PREFIX):
                continue
            try:
                self._suspects.merge_stored(data, own=key == self._key)
            except ValueError as exc:
                self._on_event(
                    "suspects_unread", {"key": key, "why": str(exc)}
                )
        self._read.set()

    def write_again(self) -> None:
        """Write the record again after the store has lost writes."""
        if self._suspects.has_own:
            self._record.write_again()
