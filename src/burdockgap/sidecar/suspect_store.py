"""Keeps quarantined requests in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.sidecar.stored_record import StoredRecord, read_records

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.suspect_book import SuspectBook
    from burdockgap.metadata.keyed_store import KeyedStore

_TOPIC = "keyed.burdockgap-suspects"


class SuspectStore:
    """
    Writes the requests that are quarantined for crashes of this target.

    They stay quarantined after the loss of all daemons at once. Other
    suspects are not stored; one more crash makes them known again.

    :param store: the platform's store.
    :param name: name of this daemon, the key of its record.
    :param suspects: the requests suspected of crashing targets.
    :param on_event: logs an event with its fields.
    """

    __slots__ = ("_name", "_on_event", "_record", "_store", "_suspects")

    def __init__(
        self,
        *,
        store: KeyedStore,
        name: str,
        suspects: SuspectBook,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._store = store
        self._name = name
        self._suspects = suspects
        self._on_event = on_event
        self._record = StoredRecord(
            store=store,
            topic=_TOPIC,
            name=name,
            encode=suspects.encode_own,
            on_failure=lambda why: on_event(
                "suspects_unwritten", {"why": why}
            ),
        )
        suspects.on_own_change = self._record.changed

    async def run(self) -> None:
        """Read all records once, then write each change."""
        await self._load()
        await self._record.run()

    def write_again(self) -> None:
        """Write the record again after the store has lost writes."""
        if self._suspects.has_own:
            self._record.write_again()

    async def _load(self) -> None:
        records = await read_records(self._store, _TOPIC, self._note_unread)
        for name, data in records.items():
            try:
                self._suspects.merge_stored(data, own=name == self._name)
            except ValueError as exc:
                self._on_event(
                    "suspects_unread", {"member": name, "why": str(exc)}
                )

    def _note_unread(self, why: str) -> None:
        self._on_event("suspects_unread", {"why": why})
