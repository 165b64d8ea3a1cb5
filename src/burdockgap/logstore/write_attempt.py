"""The append of one record, with retries after a lost reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from returns.result import Failure, Result, Success

from burdockgap.logstore.errors import LogUnavailable, LogUncertain
from burdockgap.logstore.write_error import WriteError, WriteState

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.folds import Folds
    from burdockgap.fold.record_watch import RecordWatch
    from burdockgap.logstore.log import Log

_RETRY_DELAY_S = 0.2
_RESTART_READ_AFTER_S = 0.5


class WriteAttempt:
    """
    Appends one record and waits until it is applied locally.

    :param log: the log.
    :param folds: the folds that the tails apply records to.
    :param stream: the stream to append to.
    :param restart_read: restarts the pending read of a stream.
    """

    __slots__ = ("_folds", "_log", "_restart_read", "_reason", "_stream")

    def __init__(
        self,
        log: Log,
        folds: Folds,
        stream: str,
        restart_read: Callable[[str], None],
    ) -> None:
        self._log = log
        self._folds = folds
        self._stream = stream
        self._restart_read = restart_read
        self._reason = "no reply in time"

    async def run(
        self, record_id: int, data: bytes
    ) -> Result[int, WriteError]:
        """
        Append until the record is applied or known not to be written.

        :return: the offset after the record, or the error.
        """
        with self._folds.watch(self._stream, record_id) as sighting:
            if sighting.offset is None:
                try:
                    return await self._append(data)
                except LogUnavailable as exc:
                    error = WriteError(WriteState.NOT_WRITTEN, str(exc))
                    return Failure(error)
                except LogUncertain as exc:
                    self._reason = str(exc)
            return await self._resolve(record_id, data, sighting)

    def unknown_outcome(self) -> WriteError:
        """Return the error of an attempt whose outcome is unknown."""
        return WriteError(WriteState.UNKNOWN, self._reason)

    async def _resolve(
        self, record_id: int, data: bytes, sighting: RecordWatch
    ) -> Result[int, WriteError]:
        installs = self._folds.installs
        while sighting.offset is None:
            await self._wait_applied_to_end()
            if self._folds.installs != installs:
                return self._check_snapshot(record_id)
            if sighting.offset is None:
                await self._append_again(data)
        return Success(sighting.offset + 1)

    def _check_snapshot(self, record_id: int) -> Result[int, WriteError]:
        # A snapshot holds only the newest ids of the records that it
        # covers, so a missing id leaves the outcome unknown.
        if self._folds.was_applied(self._stream, record_id):
            return Success(self._folds.offset(self._stream))
        return Failure(self.unknown_outcome())

    async def _append(self, data: bytes) -> Result[int, WriteError]:
        offset = await self._log.append(self._stream, data)
        self._reason = f"written at offset {offset}, but not read back"
        await self._wait_applied(offset + 1)
        return Success(offset + 1)

    async def _append_again(self, data: bytes) -> None:
        try:
            await self._append(data)
        except LogUnavailable:
            await anyio.sleep(_RETRY_DELAY_S)
        except LogUncertain as exc:
            self._reason = str(exc)

    async def _wait_applied_to_end(self) -> None:
        while True:
            offset = self._folds.offset(self._stream)
            try:
                page = await self._log.read(
                    self._stream, offset, wait=0, limit=1
                )
            except LogUnavailable:
                await anyio.sleep(_RETRY_DELAY_S)
                continue
            await self._wait_applied(page.end)
            return

    async def _wait_applied(self, offset: int) -> None:
        while not await self._folds.wait_offset(
            self._stream, offset, _RESTART_READ_AFTER_S
        ):
            self._restart_read(self._stream)
