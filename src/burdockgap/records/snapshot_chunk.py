"""A part of a snapshot of both folds."""

from __future__ import annotations

from burdockgap.wire.message import Message


class SnapshotChunk(Message):
    """
    One chunk; a snapshot is used only if it has all its chunks.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param snapshot_id: id shared by all chunks of the snapshot.
    :param upto: offset of the first record not included.
    :param index: position of the chunk, from zero.
    :param count: number of chunks.
    :param data: part of the encoded state.
    """

    __slots__ = (
        "record_id",
        "term",
        "snapshot_id",
        "upto",
        "index",
        "count",
        "data",
    )
    TAG = 18

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        snapshot_id: int,
        upto: int,
        index: int,
        count: int,
        data: bytes,
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.snapshot_id = snapshot_id
        self.upto = upto
        self.index = index
        self.count = count
        self.data = data
