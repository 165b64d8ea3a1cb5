"""The interface of the platform's append-only log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.logstore.page import Page


class Log(Protocol):
    """An append-only log of named streams with offsets from zero."""

    async def append(self, stream: str, record: bytes) -> int:
        """
        Append a record.

        :return: the record's offset.
        :raises LogUnavailable: if the append had no effect.
        :raises LogUncertain: if the append may have taken effect.
        """
        ...

    async def read(
        self, stream: str, from_offset: int, *, wait: float, limit: int
    ) -> Page:
        """
        Read records, starting at an offset.

        If the record at ``from_offset`` has been trimmed, the page
        starts at the earliest record that the log retains.

        :param wait: seconds to wait for a record if there is none.
        :param limit: maximum number of records.
        :raises LogUnavailable: if the log does not reply.
        """
        ...
