"""An in-process log for unit tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.logstore.errors import LogUnavailable, LogUncertain
from standins.log_faults import LogFaults
from standins.log_store import LogStore

if TYPE_CHECKING:
    from burdockgap.logstore.page import Page


class MemoryLog:
    """
    An in-memory log with the same faults as the stand-in server.

    :ivar store: the records.
    :ivar faults: the active faults.
    :ivar appends: number of appends that took effect.
    """

    __slots__ = ("appends", "faults", "store")

    def __init__(self, retain: int = 0) -> None:
        self.store = LogStore(retain)
        self.faults = LogFaults()
        self.appends = 0

    async def append(self, stream: str, record: bytes) -> int:
        """Append a record, see :class:`burdockgap.logstore.Log`."""
        await self._delay_and_check()
        offset = self.store.append(stream, record)
        self.appends += 1
        if self.faults.should_lose_reply():
            raise LogUncertain("the reply was lost")
        return offset

    async def read(
        self, stream: str, from_offset: int, *, wait: float, limit: int
    ) -> Page:
        """Read records, see :class:`burdockgap.logstore.Log`."""
        await self._delay_and_check()
        await self.store.wait_past(stream, from_offset, wait)
        self._check_available()
        return self.store.page(stream, from_offset, limit)

    def set_down(self, down: bool) -> None:
        """Start or end an outage; a start fails all waiting reads."""
        self.faults.down = down
        self.store.wake()

    async def _delay_and_check(self) -> None:
        await anyio.sleep(self.faults.delay_s)
        self._check_available()

    def _check_available(self) -> None:
        if self.faults.down:
            raise LogUnavailable("the log is down")
