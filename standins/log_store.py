"""The records of an in-memory log."""

from __future__ import annotations

import anyio

from burdockgap.logstore.page import Page


class LogStore:
    """
    Streams of records that are kept in memory.

    :param retain: number of newest records kept per stream, 0 for all.
    """

    __slots__ = ("_changed", "_earliest", "_records", "_retain")

    def __init__(self, retain: int = 0) -> None:
        self._retain = retain
        self._records: dict[str, list[bytes]] = {}
        self._earliest: dict[str, int] = {}
        self._changed: anyio.Event | None = None

    def append(self, stream: str, record: bytes) -> int:
        """Append a record and return its offset."""
        records = self._records.setdefault(stream, [])
        records.append(record)
        offset = self._earliest.get(stream, 0) + len(records) - 1
        if self._retain:
            self.trim(stream, offset + 1 - self._retain)
        self.wake()
        return offset

    def trim(self, stream: str, before: int) -> None:
        """Forget the records below an offset."""
        records = self._records.setdefault(stream, [])
        earliest = self._earliest.get(stream, 0)
        dropped = min(max(before - earliest, 0), len(records))
        del records[:dropped]
        self._earliest[stream] = earliest + dropped

    def end(self, stream: str) -> int:
        """Return the offset that the next append will get."""
        records = self._records.get(stream, [])
        return self._earliest.get(stream, 0) + len(records)

    def page(self, stream: str, from_offset: int, limit: int) -> Page:
        """Return the records from an offset on."""
        records = self._records.get(stream, [])
        earliest = self._earliest.get(stream, 0)
        start = max(from_offset - earliest, 0)
        return Page(
            first=earliest + start,
            records=records[start : start + limit],
            earliest=earliest,
            end=earliest + len(records),
        )

    async def wait_past(self, stream: str, offset: int, wait: float) -> None:
        """Wait for a record at an offset, or until :meth:`wake`."""
        with anyio.move_on_after(wait):
            if self.end(stream) <= offset:
                await self._wait_change()

    def wake(self) -> None:
        """End all waits."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_change(self) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()
