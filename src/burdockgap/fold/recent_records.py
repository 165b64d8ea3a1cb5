"""The newest records of a stream, for peers that catch up."""

from __future__ import annotations

from collections import deque

_MAX_RECORDS = 2000
_MAX_BYTES = 4 * 1024 * 1024


class RecentRecords:
    """
    A bounded queue of consecutive encoded records.

    Bounded by number and by bytes, since a chunk of a snapshot is much
    larger than other records.
    """

    __slots__ = ("_bytes", "_first", "_records")

    def __init__(self) -> None:
        self._first = 0
        self._bytes = 0
        self._records: deque[bytes] = deque()

    def add(self, offset: int, data: bytes) -> None:
        """Add a record; if offsets are missing, drop the older ones."""
        if offset != self._first + len(self._records):
            self.reset(offset)
        self._records.append(data)
        self._bytes += len(data)
        while self._exceeds_limits():
            self._bytes -= len(self._records.popleft())
            self._first += 1

    def reset(self, offset: int) -> None:
        """Drop all records and set the offset of the next one."""
        self._records.clear()
        self._bytes = 0
        self._first = offset

    def read(self, from_offset: int, limit: int) -> list[bytes] | None:
        """
        Return records from an offset on.

        :return: ``None`` if the first of them is no longer kept.
        """
        start = from_offset - self._first
        if start < 0:
            return None
        stop = min(start + limit, len(self._records))
        return [self._records[index] for index in range(start, stop)]

    def _exceeds_limits(self) -> bool:
        return len(self._records) > _MAX_RECORDS or self._bytes > _MAX_BYTES
