"""One record on its way into the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from returns.result import Failure, Result, Success

from burdockgap.logstore.errors import LogUnavailable, LogUncertain
from burdockgap.logstore.write_error import WriteError, WriteState

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.folds import Folds
    from burdockgap.fold.sighting import Sighting
    from burdockgap.logstore.log import Log

_RETRY_S = 0.2
_POKE_AFTER_S = 0.5


class WriteAttempt:
    """
    Appends one record and follows it until it is folded.

    :param log: the log.
    :param folds: the folds that the tails feed.
    :param stream: the stream to append to.
    :param poke: makes the stream's tail read at once.
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
        Append until the record is folded or certainly not written.

        :return: the offset past the record.
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

    def timed_out(self) -> WriteError:
        """Return the error of an attempt that did not end."""
        return WriteError(WriteState.UNKNOWN, self._reason)

    async def _resolve(
        self, record_id: int, data: bytes, sighting: Sighting
    ) -> Result[int, WriteError]:
        installs = self._folds.installs
        while sighting.offset is None:
            await self._fold_to_end()
            if self._folds.installs != installs:
                return self._check_snapshot(record_id)
            if sighting.offset is None:
                await self._append_again(data)
        return Success(sighting.offset + 1)

    def _check_snapshot(self, record_id: int) -> Result[int, WriteError]:
        # A snapshot tells only of the newest ids that it covers.
        if self._folds.was_applied(self._stream, record_id):
            return Success(self._folds.offset(self._stream))
        return Failure(self.timed_out())

    async def _append(self, data: bytes) -> Result[int, WriteError]:
        offset = await self._log.append(self._stream, data)
        self._reason = f"written at offset {offset}, but not read back"
        await self._wait_folded(offset + 1)
        return Success(offset + 1)

    async def _append_again(self, data: bytes) -> None:
        try:
            await self._append(data)
        except LogUnavailable:
            await anyio.sleep(_RETRY_S)
        except LogUncertain as exc:
            self._reason = str(exc)

    async def _fold_to_end(self) -> None:
        while True:
            offset = self._folds.offset(self._stream)
            try:
                page = await self._log.read(
                    self._stream, offset, wait=0, limit=1
                )
            except LogUnavailable:
                await anyio.sleep(_RETRY_S)
                continue
            await self._wait_folded(page.end)
            return

    async def _wait_folded(self, offset: int) -> None:
        while not await self._folds.wait_offset(
            self._stream, offset, _POKE_AFTER_S
        ):
            self._restart_read(self._stream)
