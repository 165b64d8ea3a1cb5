"""The fold of the ``control`` stream."""

from __future__ import annotations

from collections import OrderedDict
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from burdockgap.config.fields import MAX_SLICES
from burdockgap.fold.audit_entries import entry_of_control
from burdockgap.fold.audit_trail import AuditTrail
from burdockgap.fold.control_effect import NO_EFFECT, ControlEffect
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
    Sessions and assignments, which all daemons compute identically.

    :ivar offset: offset of the next record to apply.
    :ivar term: the current coordinator's term, 0 before the first.
    :ivar coordinator: the claim of the current term, if any.
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
        """Advance past a record that changes nothing."""
        self.offset = offset + 1

    def apply(self, offset: int, record: ControlRecord) -> ControlEffect:
        """
        Apply the record at an offset.

        :return: what changed; ``NO_EFFECT`` if the record is ignored.
        """
        self.offset = offset + 1
        if record.record_id in self.seen:
            return NO_EFFECT
        self._add_seen_id(record.record_id)
        if not isinstance(record, Claim) and record.term != self.term:
            return NO_EFFECT
        effect = self._apply(record)
        if effect.effective:
            self._add_audit_entry(offset, record, effect)
        return effect

    def is_live(self, session_id: int) -> bool:
        """Tell whether a session is admitted and has not ended."""
        return session_id in self.sessions

    def successor(self, service: str, unit: int) -> int:
        """Return the session that succeeds a unit's owner, or 0."""
        table = self.tables[service]
        return self.successor_of(service, table.owner(unit), unit)

    def successor_of(self, service: str, session_id: int, unit: int) -> int:
        """Return a live session's successor for a unit, or 0."""
        entry = self.sessions.get(session_id)
        if entry is None:
            return 0
        index = slice_of(unit, self.tables[service].slices)
        return choose_successor(entry.successors, index)

    def _add_seen_id(self, record_id: int) -> None:
        self.seen[record_id] = None
        if len(self.seen) > _SEEN_IDS_KEPT:
            self.seen.popitem(last=False)

    def _add_audit_entry(
        self, offset: int, record: ControlRecord, effect: ControlEffect
    ) -> None:
        author = self.coordinator.name if self.coordinator else ""
        entry = entry_of_control(offset, record, effect, author)
        if entry is not None:
            self.audit.add(entry)

    @singledispatchmethod
    def _apply(self, record: object) -> ControlEffect:
        raise TypeError(f"unsupported control record {type(record)}")

    @_apply.register
    def _(self, record: Claim) -> ControlEffect:
        if record.term != self.term + 1:
            return NO_EFFECT
        self.term = record.term
        self.coordinator = record
        return ControlEffect()

    @_apply.register
    def _(self, record: Admit) -> ControlEffect:
        admitted = []
        for entry in record.sessions:
            self.sessions[entry.session_id] = entry
            admitted.append(entry.session_id)
        return ControlEffect(sessions=admitted)

    @_apply.register
    def _(self, record: Ended) -> ControlEffect:
        if record.session_id not in self.sessions:
            return NO_EFFECT
        entry = self.sessions[record.session_id]
        units = self._reassign_to_successors(entry)
        del self.sessions[record.session_id]
        return ControlEffect(
            service=entry.service, units=units, sessions=[record.session_id]
        )

    def _reassign_to_successors(self, entry: SessionEntry) -> list[int]:
        table = self.tables.get(entry.service)
        if table is None:
            return []
        units = table.units_of(entry.session_id)
        for unit in units:
            successor = self.successor(entry.service, unit)
            new_owner = successor if self.is_live(successor) else 0
            table.assign(unit, new_owner, successor)
        return units

    @_apply.register
    def _(self, record: Layout) -> ControlEffect:
        if record.service in self.tables or not _is_valid_slice_count(
            record.slices
        ):
            return NO_EFFECT
        self.tables[record.service] = UnitTable(record.slices)
        return ControlEffect(service=record.service)

    @_apply.register
    def _(self, record: Assign) -> ControlEffect:
        table = self.tables.get(record.service)
        if table is None:
            return NO_EFFECT
        moved = []
        for unit, owner in zip(record.units, record.owners, strict=False):
            if not table.has_unit(unit) or not self._serves(
                owner, record.service
            ):
                continue
            successor = self.successor(record.service, unit)
            table.assign(unit, owner, successor)
            moved.append(unit)
        return ControlEffect(
            service=record.service, units=moved, effective=bool(moved)
        )

    def _serves(self, session_id: int, service: str) -> bool:
        entry = self.sessions.get(session_id)
        return entry is not None and entry.service == service

    @_apply.register
    def _(self, record: Activated) -> ControlEffect:
        table = self.tables.get(record.service)
        if table is None:
            return NO_EFFECT
        activated_units = [
            unit
            for unit, epoch in zip(record.units, record.epochs, strict=False)
            if table.has_unit(unit) and table.confirm_activation(unit, epoch)
        ]
        return ControlEffect(
            service=record.service,
            units=activated_units,
            effective=bool(activated_units),
        )

    @_apply.register
    def _(self, record: Pin) -> ControlEffect:
        table = self.tables.get(record.service)
        if table is None or not is_pin(record.unit):
            return NO_EFFECT
        if table.has_unit(record.unit):
            return NO_EFFECT
        table.add_pin(record.unit)
        return ControlEffect(service=record.service, units=[record.unit])

    @_apply.register
    def _(self, record: Unpin) -> ControlEffect:
        table = self.tables.get(record.service)
        if table is None or not self._may_unpin(table, record.unit):
            return NO_EFFECT
        table.remove_pin(record.unit)
        parent = slice_of(record.unit, table.slices)
        return ControlEffect(
            service=record.service, units=[record.unit, parent]
        )

    def _may_unpin(self, table: UnitTable, unit: int) -> bool:
        parent = slice_of(unit, table.slices)
        return (
            is_pin(unit)
            and table.has_unit(unit)
            and table.owner(unit) == table.owner(parent)
            and not table.earlier_holders(unit)
            and not table.earlier_holders(parent)
        )

    @_apply.register
    def _(self, _record: SnapshotChunk) -> ControlEffect:
        return ControlEffect()


def _is_valid_slice_count(slices: int) -> bool:
    return 1 <= slices <= MAX_SLICES and slices & (slices - 1) == 0
