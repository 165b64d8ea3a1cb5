"""Keeps this machine's departures in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.sidecar.stored_record import StoredRecord, read_records

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.departures import Departures
    from burdockgap.metadata.keyed_store import KeyedStore


class DepartureStore:
    """
    Writes departures to the store and reads those of an earlier run.

    A departure that was acknowledged holds after a restart of this
    daemon, and after the loss of all daemons at once.

    :param store: the platform's store.
    :param name: name of this daemon, the key of its departures.
    :param departures: the departures.
    :param knows_peers: returns whether other daemons are heard, which
        tell what they know of the target with each call.
    :param on_event: logs an event with its fields.
    :param on_read: called when the departures of an earlier run were
        read, or peers have to do in their place.
    :param on_records: called with all records that were read, by key.
    :ivar loaded: whether ``on_read`` was called.
    """

    __slots__ = (
        "_departures",
        "_knows_peers",
        "_name",
        "_on_event",
        "_on_read",
        "_on_records",
        "_record",
        "_store",
        "loaded",
    )

    def __init__(
        self,
        *,
        store: KeyedStore,
        name: str,
        departures: Departures,
        knows_peers: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
        on_read: Callable[[], None],
        on_records: Callable[[dict[str, bytes]], None],
    ) -> None:
        self._store = store
        self._departures = departures
        self._knows_peers = knows_peers
        self._name = name
        self._on_event = on_event
        self._on_read = on_read
        self._on_records = on_records
        self._record = StoredRecord(
            store=store,
            key=name,
            encode=departures.encode,
            on_failure=lambda why: on_event(
                "departures_unwritten", {"why": why}
            ),
        )
        self.loaded = False
        departures.on_change = self._record.changed

    async def run(self) -> None:
        """Read earlier departures once, then write each change."""
        await self._load()
        await self._record.run()

    async def wait_until_saved(self, timeout_s: float) -> bool:
        """
        Wait until the store has all departures noted so far.

        :param timeout_s: longest wait, in seconds.
        :return: whether it has them.
        """
        return await self._record.wait_until_saved(timeout_s)

    def write_again(self) -> None:
        """Write all departures again after the store has lost some."""
        if not self._departures.is_empty:
            self._record.write_again()

    async def _load(self) -> None:
        records = await read_records(self._store, self._note_unread)
        stored = records.get(self._name)
        if stored:
            try:
                self._departures.merge(stored)
            except ValueError as exc:
                self._on_event("departures_unread", {"why": str(exc)})
        self._set_loaded()
        self._on_records(records)

    def _note_unread(self, why: str) -> None:
        self._on_event("departures_unread", {"why": why})
        if self._knows_peers() and not self.loaded:
            # Their notices, which come with each call, have to do.
            self._set_loaded()

    def _set_loaded(self) -> None:
        self.loaded = True
        self._on_read()
