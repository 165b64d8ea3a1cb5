"""In-memory storage of log records."""

from __future__ import annotations

import anyio

from burdockgap.logstore.page import Page


class LogStore:
    """
    Append-only streams of records, kept in memory.

    :param retain: number of newest records kept per stream, 0 to keep
        all.
    """

    __slots__ = ("_changed", "_earliest_offsets", "_records", "_retain")

    def __init__(self, retain: int = 0) -> None:
        self._retain = retain
        self._records: dict[str, list[bytes]] = {}
        self._earliest_offsets: dict[str, int] = {}
        self._changed: anyio.Event | None = None

    def append(self, stream: str, record: bytes) -> int:
        """Append a record and return its offset."""
        records = self._records.setdefault(stream, [])
        records.append(record)
        offset = self._earliest_offsets.get(stream, 0) + len(records) - 1
        if self._retain:
            self.trim(stream, offset + 1 - self._retain)
        self.wake()
        return offset

    def trim(self, stream: str, before: int) -> None:
        """Delete the records below an offset."""
        records = self._records.setdefault(stream, [])
        earliest = self._earliest_offsets.get(stream, 0)
        dropped = min(max(before - earliest, 0), len(records))
        del records[:dropped]
        self._earliest_offsets[stream] = earliest + dropped

    def end(self, stream: str) -> int:
        """Return the offset of the next append."""
        records = self._records.get(stream, [])
        return self._earliest_offsets.get(stream, 0) + len(records)

    def page(self, stream: str, from_offset: int, limit: int) -> Page:
        """Return up to ``limit`` records, starting at an offset."""
        records = self._records.get(stream, [])
        earliest = self._earliest_offsets.get(stream, 0)
        start = max(from_offset - earliest, 0)
        return Page(
            first=earliest + start,
            records=records[start : start + limit],
            earliest=earliest,
            end=earliest + len(records),
        )

    async def wait_past(
        self, stream: str, offset: int, timeout_s: float
    ) -> None:
        """
        Wait for a record at an offset.

        Also returns after ``timeout_s`` seconds, on an append to any
        stream and on :meth:`wake`.
        """
        with anyio.move_on_after(timeout_s):
            if self.end(stream) <= offset:
                await self._wait_change()

    def wake(self) -> None:
        """Wake all waiting readers."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_change(self) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()
