"""The fold of the ``control`` stream."""

from __future__ import annotations

from collections import OrderedDict
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from burdockgap.config.fields import MAX_SLICES
from burdockgap.fold.audit_entries import entry_of_control
from burdockgap.fold.audit_trail import AuditTrail
from burdockgap.fold.touched import VOID, Touched
from burdockgap.fold.unit_table import UnitTable
from burdockgap.ownership.unit import choose_successor, is_pin, slice_of
from burdockgap.records.activated import Activated
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.snapshot_chunk import SnapshotChunk
from burdockgap.records.unpin import Unpin

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.records.streams import ControlRecord

_SEEN_IDS_KEPT = 4096


class ControlState:
    """
    Sessions and assignments, as every daemon computes them alike.

    :ivar offset: offset of the next record to apply.
    :ivar term: the current coordinator's term, 0 before the first.
    :ivar coordinator: the claim that is in force, if any.
    :ivar sessions: admitted sessions that have not ended, by id.
    :ivar tables: the units of each keyed service.
    :ivar seen: ids of the newest applied records, oldest first.
    :ivar audit: one entry per cause of a change of ownership.
    """

    __slots__ = (
        "audit",
        "coordinator",
        "offset",
        "seen",
        "sessions",
        "tables",
        "term",
    )

    def __init__(self) -> None:
        self.offset = 0
        self.term = 0
        self.coordinator: Claim | None = None
        self.sessions: dict[int, SessionEntry] = {}
        self.tables: dict[str, UnitTable] = {}
        self.seen: OrderedDict[int, None] = OrderedDict()
        self.audit = AuditTrail()

    def skip(self, offset: int) -> None:
        """Pass over a record that changes nothing."""
        self.offset = offset + 1

    def apply(self, offset: int, record: ControlRecord) -> Touched:
        """
        Apply the record at an offset.

        :return: what changed; nothing if the record is void.
        """
        self.offset = offset + 1
        if record.record_id in self.seen:
            return VOID
        self._remember(record.record_id)
        if not isinstance(record, Claim) and record.term != self.term:
            return VOID
        touched = self._apply(record)
        if touched.counted:
            self._audit(offset, record, touched)
        return touched

    def is_live(self, session_id: int) -> bool:
        """Tell whether a session is admitted and has not ended."""
        return session_id in self.sessions

    def successor(self, service: str, unit: int) -> int:
        """Return the session that succeeds a unit's owner, or 0."""
        table = self.tables[service]
        return self.successor_of(service, table.owner(unit), unit)

    def successor_of(self, service: str, session_id: int, unit: int) -> int:
        """Return who succeeds a live session on a unit, or 0."""
        entry = self.sessions.get(session_id)
        if entry is None:
            return 0
        index = slice_of(unit, self.tables[service].slices)
        return choose_successor(entry.successors, index)

    def _remember(self, record_id: int) -> None:
        self.seen[record_id] = None
        if len(self.seen) > _SEEN_IDS_KEPT:
            self.seen.popitem(last=False)

    def _audit(
        self, offset: int, record: ControlRecord, touched: Touched
    ) -> None:
        author = self.coordinator.name if self.coordinator else ""
        entry = entry_of_control(offset, record, touched, author)
        if entry is not None:
            self.audit.add(entry)

    @singledispatchmethod
    def _apply(self, record: object) -> Touched:
        raise TypeError(f"no such control record: {type(record)}")

    @_apply.register
    def _(self, record: Claim) -> Touched:
        if record.term != self.term + 1:
            return VOID
        self.term = record.term
        self.coordinator = record
        return Touched()

    @_apply.register
    def _(self, record: Admit) -> Touched:
        admitted = []
        for entry in record.sessions:
            self.sessions[entry.session_id] = entry
            admitted.append(entry.session_id)
        return Touched(sessions=admitted)

    @_apply.register
    def _(self, record: Ended) -> Touched:
        if record.session_id not in self.sessions:
            return VOID
        entry = self.sessions[record.session_id]
        units = self._pass_to_successors(entry)
        del self.sessions[record.session_id]
        return Touched(
            service=entry.service, units=units, sessions=[record.session_id]
        )

    def _pass_to_successors(self, entry: SessionEntry) -> list[int]:
        table = self.tables.get(entry.service)
        if table is None:
            return []
        units = table.units_of(entry.session_id)
        for unit in units:
            successor = self.successor(entry.service, unit)
            heir = successor if self.is_live(successor) else 0
            table.assign(unit, heir, successor)
        return units

    @_apply.register
    def _(self, record: Layout) -> Touched:
        if record.service in self.tables or not _is_layout(record.slices):
            return VOID
        self.tables[record.service] = UnitTable(record.slices)
        return Touched(service=record.service)

    @_apply.register
    def _(self, record: Assign) -> Touched:
        table = self.tables.get(record.service)
        if table is None:
            return VOID
        moved = []
        for unit, owner in zip(record.units, record.owners, strict=False):
            if not table.knows(unit) or not self._serves(
                owner, record.service
            ):
                continue
            successor = self.successor(record.service, unit)
            table.assign(unit, owner, successor)
            moved.append(unit)
        return Touched(
            service=record.service, units=moved, counted=bool(moved)
        )

    def _serves(self, session_id: int, service: str) -> bool:
        entry = self.sessions.get(session_id)
        return entry is not None and entry.service == service

    @_apply.register
    def _(self, record: Activated) -> Touched:
        table = self.tables.get(record.service)
        if table is None:
            return VOID
        cut = [
            unit
            for unit, epoch in zip(record.units, record.epochs, strict=False)
            if table.knows(unit) and table.activated(unit, epoch)
        ]
        return Touched(service=record.service, units=cut, counted=bool(cut))

    @_apply.register
    def _(self, record: Pin) -> Touched:
        table = self.tables.get(record.service)
        if table is None or not is_pin(record.unit):
            return VOID
        if table.knows(record.unit):
            return VOID
        table.add_pin(record.unit)
        return Touched(service=record.service, units=[record.unit])

    @_apply.register
    def _(self, record: Unpin) -> Touched:
        table = self.tables.get(record.service)
        if table is None or not self._may_unpin(table, record.unit):
            return VOID
        table.remove_pin(record.unit)
        parent = slice_of(record.unit, table.slices)
        return Touched(service=record.service, units=[record.unit, parent])

    def _may_unpin(self, table: UnitTable, unit: int) -> bool:
        parent = slice_of(unit, table.slices)
        return (
            is_pin(unit)
            and table.knows(unit)
            and table.owner(unit) == table.owner(parent)
            and not table.earlier(unit)
            and not table.earlier(parent)
        )

    @_apply.register
    def _(self, _record: SnapshotChunk) -> Touched:
        return Touched()


def _is_layout(slices: int) -> bool:
    return 1 <= slices <= MAX_SLICES and slices & (slices - 1) == 0
