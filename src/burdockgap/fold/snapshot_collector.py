"""Assembly of snapshots from chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.snapshot_chunk import SnapshotChunk

_PARTIAL_SNAPSHOTS_KEPT = 4
_COMPLETE_SNAPSHOTS_KEPT = 2


class SnapshotCollector:
    """
    Assembles snapshots from chunks that come in the order of the log.

    Complete and partial snapshots are limited separately, so that
    partial ones of writers that stopped early cannot evict a complete
    one.
    """

    __slots__ = ("_partial", "_complete")

    def __init__(self) -> None:
        self._partial: dict[int, dict[int, SnapshotChunk]] = {}
        self._complete: list[bytes] = []

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk; one that is kept already has no effect."""
        parts = self._partial.setdefault(chunk.snapshot_id, {})
        parts[chunk.index] = chunk
        if len(parts) == chunk.count:
            del self._partial[chunk.snapshot_id]
            self._add_complete(parts)
        elif len(self._partial) > _PARTIAL_SNAPSHOTS_KEPT:
            del self._partial[next(iter(self._partial))]

    def newest_first(self) -> list[bytes]:
        """Return the data of complete snapshots, newest first."""
        return list(reversed(self._complete))

    def _add_complete(self, parts: dict[int, SnapshotChunk]) -> None:
        data = b"".join(parts[index].data for index in sorted(parts))
        self._complete.append(data)
        del self._complete[:-_COMPLETE_SNAPSHOTS_KEPT]
