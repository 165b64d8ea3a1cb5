"""Assembly of snapshots from chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.snapshot_chunk import SnapshotChunk

_PARTIALS_KEPT = 4
_WHOLES_KEPT = 2


class SnapshotCollector:
    """
    Collects chunks in the order of the log.

    Keeps the newest whole snapshots apart from the newest partial ones,
    so that writers which stop half-way cannot crowd out a whole one.
    """

    __slots__ = ("_partial", "_whole")

    def __init__(self) -> None:
        self._partial: dict[int, dict[int, SnapshotChunk]] = {}
        self._whole: list[bytes] = []

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk; one that is there already changes nothing."""
        parts = self._partial.setdefault(chunk.snapshot_id, {})
        parts[chunk.index] = chunk
        if len(parts) == chunk.count:
            del self._partial[chunk.snapshot_id]
            self._keep(parts)
        elif len(self._partial) > _PARTIALS_KEPT:
            del self._partial[next(iter(self._partial))]

    def newest_first(self) -> list[bytes]:
        """Return the data of whole snapshots, the newest first."""
        return list(reversed(self._whole))

    def _keep(self, parts: dict[int, SnapshotChunk]) -> None:
        data = b"".join(parts[index].data for index in sorted(parts))
        self._whole.append(data)
        del self._whole[:-_WHOLES_KEPT]
