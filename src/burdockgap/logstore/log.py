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
        :raises LogUnavailable: if it certainly had no effect.
        :raises LogUncertain: if it may have had an effect.
        """
        ...

    async def read(
        self, stream: str, from_offset: int, *, wait: float, limit: int
    ) -> Page:
        """
        Read records from an offset on.

        If ``from_offset`` is older than the earliest record kept, the
        page starts at the earliest one.

        :param wait: seconds to wait for a record if there is none.
        :param limit: largest number of records.
        :raises LogUnavailable: if the log does not answer.
        """
        ...
