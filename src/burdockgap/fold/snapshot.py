"""
Encoding of the states of both folds into snapshot chunks.

The chunks are records of the ``control`` stream. ``upto`` of each is
the offset of that stream's first record not included. The encoded state
holds such an offset of the ``config`` stream too, so the log may trim
that stream up to there as well.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from burdockgap.fold.messages.config_snapshot import ConfigSnapshot
from burdockgap.fold.messages.control_snapshot import ControlSnapshot
from burdockgap.fold.messages.fold_snapshot import FoldSnapshot
from burdockgap.fold.messages.table_entry import TableEntry
from burdockgap.records.snapshot_chunk import SnapshotChunk
from burdockgap.wire import pack
from burdockgap.wire.ids import new_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.fold.config_state import ConfigState
    from burdockgap.fold.control_state import ControlState
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.unit_table import UnitTable

_CHUNK_BYTES = 60 * 1024
_COMPRESSION_LEVEL = 1


def make_chunks(folds: Folds, *, term: int) -> list[SnapshotChunk]:
    """
    Return a snapshot of both folds as records to append in order.

    :param term: the term of the coordinator that writes them.
    """
    data = encode_states(folds.control, folds.config)
    snapshot_id = new_id()
    starts = range(0, len(data), _CHUNK_BYTES)
    return [
        SnapshotChunk(
            record_id=new_id(),
            term=term,
            snapshot_id=snapshot_id,
            upto=folds.control.offset,
            index=index,
            count=len(starts),
            data=data[start : start + _CHUNK_BYTES],
        )
        for index, start in enumerate(starts)
    ]


def encode_states(control: ControlState, config: ConfigState) -> bytes:
    """Return both states, compressed; equal states give equal bytes."""
    snapshot = snapshot_states(control, config)
    return zlib.compress(pack(snapshot), _COMPRESSION_LEVEL)


def snapshot_states(
    control: ControlState, config: ConfigState
) -> FoldSnapshot:
    """Return both states as one message."""
    return FoldSnapshot(
        control=_snapshot_control(control), config=_snapshot_config(config)
    )


def _pack_ids(ids: Iterable[int]) -> bytes:
    """Return ids as 8 bytes little-endian each."""
    return b"".join(value.to_bytes(8, "little") for value in ids)


def _snapshot_control(state: ControlState) -> ControlSnapshot:
    return ControlSnapshot(
        offset=state.offset,
        term=state.term,
        coordinator=state.coordinator,
        sessions=list(state.sessions.values()),
        tables=[
            _snapshot_table(service, table)
            for service, table in state.tables.items()
        ],
        seen=_pack_ids(state.seen),
        audit=state.audit.entries(),
    )


def _snapshot_table(service: str, table: UnitTable) -> TableEntry:
    pins = table.pins()
    earlier_units = table.units_with_earlier_holders()
    return TableEntry(
        service=service,
        slices=table.slices,
        owners=table.owners_as_bytes(),
        epochs=table.epochs_as_bytes(),
        pin_units=pins,
        pin_owners=[table.owner(unit) for unit in pins],
        pin_epochs=[table.epoch(unit) for unit in pins],
        earlier_units=earlier_units,
        earlier_holders=[
            list(table.earlier_holders(unit)) for unit in earlier_units
        ],
    )


def _snapshot_config(state: ConfigState) -> ConfigSnapshot:
    return ConfigSnapshot(
        offset=state.offset,
        version=state.version,
        document=state.text,
        data_centres_out=sorted(state.data_centres_out),
        draining=sorted(state.draining),
        ended_sessions=list(state.ended_sessions),
        seen=_pack_ids(state.seen),
        decided_ids=_pack_ids(state.decisions),
        decisions=list(state.decisions.values()),
        audit=state.audit.entries(),
    )
