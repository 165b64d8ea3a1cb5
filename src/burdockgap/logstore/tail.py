"""Continuous reading of one log stream."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from burdockgap.logstore.errors import LogError, LogTrimmed
from burdockgap.logstore.metrics import READ_RESTARTS, TRIMS

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.loader import SnapshotLoader
    from burdockgap.logstore.log import Log
    from burdockgap.logstore.page import Page

_READ_WAIT_S = 20.0
_MAX_PAGE_RECORDS = 200
_INITIAL_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0
_TRIMMED_RETRY_DELAY_S = 5.0
_MIN_RESTART_INTERVAL_S = 0.5


class Tail:
    """
    Reads one stream until cancelled and applies its records.

    :param log: the log.
    :param folds: the folds that the records are applied to.
    :param stream: the stream to read.
    :param loader: loads a snapshot if the next offset was trimmed.
    :param wait_s: maximum time that one read waits for a record.
    """

    __slots__ = (
        "_end",
        "_folds",
        "_healthy",
        "_loader",
        "_log",
        "_retry_delay_s",
        "_restarted_at",
        "_read_at",
        "_cancel_scope",
        "_stream",
        "_wait_s",
    )

    def __init__(
        self,
        log: Log,
        folds: Folds,
        stream: str,
        loader: SnapshotLoader,
        *,
        wait_s: float = _READ_WAIT_S,
    ) -> None:
        self._log = log
        self._folds = folds
        self._stream = stream
        self._loader = loader
        self._wait_s = wait_s
        self._end = -1
        self._healthy = False
        self._retry_delay_s = _INITIAL_RETRY_DELAY_S
        self._restarted_at = -_MIN_RESTART_INTERVAL_S
        self._read_at = math.nan
        self._cancel_scope: anyio.CancelScope | None = None

    @property
    def last_read_age_s(self) -> float:
        """Seconds since the last successful read, or NaN."""
        return anyio.current_time() - self._read_at

    @property
    def healthy(self) -> bool:
        """Whether the last read succeeded."""
        return self._healthy

    @property
    def caught_up(self) -> bool:
        """Whether all records that the log reported are applied."""
        offset = self._folds.offset(self._stream)
        return self._healthy and offset >= self._end

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._read_and_apply()
            except LogTrimmed as exc:
                self._set_healthy(False, str(exc))
                await self._sleep_before_retry(_TRIMMED_RETRY_DELAY_S)
            except LogError as exc:
                self._set_healthy(False, str(exc))
                await self._sleep_before_retry(self._retry_delay_s)
                self._retry_delay_s = min(
                    2 * self._retry_delay_s, _MAX_RETRY_DELAY_S
                )

    def restart_read(self) -> None:
        """
        Cancel the pending read or delay; read on a new connection.

        Called when a peer reports a higher offset. Restarts are rate
        limited, so that repeated calls do not keep a read from
        completing.
        """
        now = anyio.current_time()
        if now - self._restarted_at < _MIN_RESTART_INTERVAL_S:
            return
        self._restarted_at = now
        if self._cancel_scope is not None:
            READ_RESTARTS.labels(self._stream).inc()
            self._cancel_scope.cancel()

    async def _read_and_apply(self) -> None:
        requested_offset = self._folds.offset(self._stream)
        page = await self._read(requested_offset)
        if page is None:
            return
        # Records from peers may have been applied during the read.
        if page.earliest > self._folds.offset(self._stream):
            TRIMS.labels(self._stream).inc()
            await self._loader.load()
            return
        if page.end < requested_offset:
            raise LogError(
                f"log was replaced or lost records: it ends at {page.end}, "
                f"before the requested offset {requested_offset}"
            )
        await self._apply(page)

    async def _read(self, offset: int) -> Page | None:
        with self._interruptible():
            return await self._log.read(
                self._stream,
                offset,
                wait=self._wait_s,
                limit=_MAX_PAGE_RECORDS,
            )
        return None

    async def _apply(self, page: Page) -> None:
        self._end = page.end
        self._read_at = anyio.current_time()
        self._retry_delay_s = _INITIAL_RETRY_DELAY_S
        self._set_healthy(True, "")
        for index, data in enumerate(page.records):
            self._folds.apply(self._stream, page.first + index, data)
            # Yields to other tasks, so that heartbeats are not delayed
            # until a whole page has been applied.
            await checkpoint()

    async def _sleep_before_retry(self, max_delay_s: float) -> None:
        delay = random.uniform(0.5, 1) * max_delay_s
        with self._interruptible():
            await anyio.sleep(delay)

    def _interruptible(self) -> anyio.CancelScope:
        self._cancel_scope = anyio.CancelScope()
        return self._cancel_scope

    def _set_healthy(self, healthy: bool, reason: str) -> None:
        if healthy == self._healthy:
            return
        self._healthy = healthy
        if healthy:
            logger.info("log stream {} is being read", self._stream)
        else:
            logger.warning(
                "cannot read stream {}: {}",
                self._stream,
                reason,
            )
