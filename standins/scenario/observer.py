"""Reads the log to find the coordinator, owners and witnesses."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.fold.folds import Folds
from burdockgap.fold.loader import SnapshotLoader
from burdockgap.logstore.http_log import open_http_log
from burdockgap.logstore.tail import Tail
from burdockgap.ownership.unit import hash_key, slice_of
from burdockgap.records.streams import CONFIG, CONTROL
from standins.scenario.scenario_error import StatementFailedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from burdockgap.fold.unit_table import UnitTable
    from burdockgap.records.session_entry import SessionEntry

_TIMEOUT_S = 2.0
_WAIT_S = 5.0


class Observer:
    """
    The assignment of units according to the log.

    :param service: the keyed service.
    :param folds: the state folded from the log.
    """

    __slots__ = ("_service", "folds")

    def __init__(self, service: str, folds: Folds) -> None:
        self._service = service
        self.folds = folds

    @property
    def table(self) -> UnitTable:
        """The unit table of the service."""
        table = self.folds.control.tables.get(self._service)
        if table is None:
            raise StatementFailedError(
                f"{self._service} has no unit table in the log yet"
            )
        return table

    def coordinator(self) -> str:
        """Return the name of the coordinating daemon."""
        claim = self.folds.control.coordinator
        if claim is None:
            raise StatementFailedError("no daemon is coordinator at present")
        return claim.name

    def owner(self, key: str) -> str:
        """Return the name of a key's owner."""
        return self._owner_entry(key).name

    def successor(self, key: str) -> str:
        """Return the name of the successor of a key's owner."""
        unit = self.table.unit_of(hash_key(key))
        successor_id = self.folds.control.successor(self._service, unit)
        return self._entry(successor_id, f"successor of {key}").name

    def witnesses(self, key: str) -> list[str]:
        """Return the names of the witnesses of a key's owner."""
        incarnations = {
            witness.incarnation for witness in self._owner_entry(key).witnesses
        }
        found = {
            entry.name
            for entry in self.folds.control.sessions.values()
            if entry.incarnation in incarnations
        }
        return sorted(found)

    def owners(self) -> dict[int, str]:
        """Return the owner's name of each slice, "" for none."""
        sessions = self.folds.control.sessions
        found = {}
        for unit in range(self.table.slices):
            entry = sessions.get(self.table.owner(unit))
            found[unit] = entry.name if entry else ""
        return found

    def key_owners(self, keys: Iterable[str]) -> dict[str, str]:
        """Return the owner's name of each key that has one."""
        owners = self.owners()
        slices = self.table.slices
        return {key: owners[slice_of(hash_key(key), slices)] for key in keys}

    def all_owned(self) -> bool:
        """Return whether the owner of each unit is a live session."""
        table = self.folds.control.tables.get(self._service)
        if table is None:
            return False
        return all(
            self.folds.control.is_live(table.owner(unit))
            for unit in range(table.slices)
        )

    def _owner_entry(self, key: str) -> SessionEntry:
        unit = self.table.unit_of(hash_key(key))
        return self._entry(self.table.owner(unit), f"owner of {key}")

    def _entry(self, session_id: int, what: str) -> SessionEntry:
        entry = self.folds.control.sessions.get(session_id)
        if entry is None:
            raise StatementFailedError(f"no session is {what} at present")
        return entry


@asynccontextmanager
async def open_observer(service: str, url: str) -> AsyncIterator[Observer]:
    """Follow the log at a URL until the block ends."""
    folds = Folds()
    async with open_http_log(url, _TIMEOUT_S) as log:
        loader = SnapshotLoader(log, folds)
        async with anyio.create_task_group() as tasks:
            for stream in (CONFIG, CONTROL):
                tail = Tail(log, folds, stream, loader, wait_s=_WAIT_S)
                tasks.start_soon(tail.run)
            yield Observer(service, folds)
            tasks.cancel_scope.cancel()
