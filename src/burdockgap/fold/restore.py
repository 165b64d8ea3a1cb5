"""Restoring the states of both folds from a snapshot."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from burdockgap.config.parse import parse_document
from burdockgap.fold.audit_trail import AuditTrail
from burdockgap.fold.config_state import (
    ENDED_SESSIONS_KEPT,
    SEEN_IDS_KEPT,
    ConfigState,
)
from burdockgap.fold.control_state import ControlState
from burdockgap.fold.messages.fold_snapshot import FoldSnapshot
from burdockgap.fold.recent_ids import RecentIds
from burdockgap.fold.unit_table import UnitTable
from burdockgap.wire import DecodeError, unpack

if TYPE_CHECKING:
    from burdockgap.config.document import Document
    from burdockgap.fold.messages.config_snapshot import ConfigSnapshot
    from burdockgap.fold.messages.control_snapshot import ControlSnapshot
    from burdockgap.fold.messages.table_entry import TableEntry

_ID_BYTES = 8


def decode_snapshot(data: bytes) -> FoldSnapshot:
    """
    Decode the joined data of all chunks of a snapshot.

    :raises DecodeError: if the data is not a snapshot.
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as exc:
        raise DecodeError(
            f"snapshot data cannot be decompressed: {exc}"
        ) from exc
    return unpack(plain, FoldSnapshot)


def restore_control(snapshot: ControlSnapshot) -> ControlState:
    """
    Return the control state that a snapshot holds.

    :raises DecodeError: if its parts are inconsistent.
    """
    state = ControlState()
    state.offset = snapshot.offset
    state.term = snapshot.term
    state.coordinator = snapshot.coordinator
    state.sessions = {entry.session_id: entry for entry in snapshot.sessions}
    state.tables = {
        entry.service: _restore_table(entry) for entry in snapshot.tables
    }
    state.seen = OrderedDict.fromkeys(_unpack_ids(snapshot.seen))
    state.audit = AuditTrail(snapshot.audit)
    return state


def restore_config(snapshot: ConfigSnapshot) -> ConfigState:
    """
    Return the configuration state that a snapshot holds.

    :raises DecodeError: if its parts are inconsistent.
    """
    state = ConfigState()
    state.offset = snapshot.offset
    state.version = snapshot.version
    state.text = snapshot.document
    state.document = _restore_document(snapshot.document)
    state.data_centres_out = set(snapshot.data_centres_out)
    state.draining = set(snapshot.draining)
    state.ended_sessions = RecentIds(
        ENDED_SESSIONS_KEPT, snapshot.ended_sessions
    )
    state.seen = RecentIds(SEEN_IDS_KEPT, _unpack_ids(snapshot.seen))
    decided = _unpack_ids(snapshot.decided_ids)
    if len(decided) != len(snapshot.decisions):
        raise DecodeError(
            "snapshot has different numbers of decisions and decided ids"
        )
    state.decisions = OrderedDict(
        zip(decided, snapshot.decisions, strict=True)
    )
    state.audit = AuditTrail(snapshot.audit)
    return state


def _restore_table(entry: TableEntry) -> UnitTable:
    try:
        table = UnitTable(entry.slices)
        table.restore_slices(entry.owners, entry.epochs)
    except ValueError as exc:
        raise DecodeError(
            f"snapshot has an invalid unit table of {entry.service}: {exc}"
        ) from exc
    pins = zip(
        entry.pin_units, entry.pin_owners, entry.pin_epochs, strict=False
    )
    for unit, owner, epoch in pins:
        table.restore(unit, owner, epoch, ())
    earlier = zip(entry.earlier_units, entry.earlier_holders, strict=False)
    for unit, holders in earlier:
        owner = table.owner(unit)
        table.restore(unit, owner, table.epoch(unit), tuple(holders))
    return table


def _restore_document(text: str) -> Document:
    parsed = parse_document(text)
    if not is_successful(parsed):
        raise DecodeError("snapshot has an invalid configuration document")
    return parsed.unwrap()


def _unpack_ids(data: bytes) -> list[int]:
    return [
        int.from_bytes(data[start : start + _ID_BYTES], "little")
        for start in range(0, len(data), _ID_BYTES)
    ]
