"""Following a stream of the log."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint
from loguru import logger

from burdockgap.logstore.errors import LogError, LogTrimmed
from burdockgap.logstore.metrics import POKES, TRIMS

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.loader import Loader
    from burdockgap.logstore.log import Log
    from burdockgap.logstore.page import Page

_WAIT_S = 20.0
_PAGE_RECORDS = 200
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0
_TRIMMED_PAUSE_S = 5.0
_POKE_INTERVAL_S = 0.5


class Tail:
    """
    Reads one stream without end and feeds the folds.

    :param log: the log.
    :param folds: the folds to feed.
    :param stream: the stream to read.
    :param loader: finds a snapshot once the offset has been trimmed.
    :param wait_s: longest time that one read waits for a record.
    """

    __slots__ = (
        "_end",
        "_folds",
        "_healthy",
        "_loader",
        "_log",
        "_pause_s",
        "_poked_at",
        "_read_at",
        "_scope",
        "_stream",
        "_wait_s",
    )

    def __init__(
        self,
        log: Log,
        folds: Folds,
        stream: str,
        loader: Loader,
        *,
        wait_s: float = _WAIT_S,
    ) -> None:
        self._log = log
        self._folds = folds
        self._stream = stream
        self._loader = loader
        self._wait_s = wait_s
        self._end = -1
        self._healthy = False
        self._pause_s = _FIRST_PAUSE_S
        self._poked_at = -_POKE_INTERVAL_S
        self._read_at = math.nan
        self._scope: anyio.CancelScope | None = None

    @property
    def last_read_age_s(self) -> float:
        """Seconds since the newest read that succeeded, or NaN."""
        return anyio.current_time() - self._read_at

    @property
    def healthy(self) -> bool:
        """Whether the newest read succeeded."""
        return self._healthy

    @property
    def caught_up(self) -> bool:
        """Whether all records that the log told of are applied."""
        offset = self._folds.offset(self._stream)
        return self._healthy and offset >= self._end

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._step()
            except LogTrimmed as exc:
                self._set_healthy(False, str(exc))
                await self._pause(_TRIMMED_PAUSE_S)
            except LogError as exc:
                self._set_healthy(False, str(exc))
                await self._pause(self._pause_s)
                self._pause_s = min(2 * self._pause_s, _MAX_PAUSE_S)

    def restart_read(self) -> None:
        """
        Read at once, over a new connection.

        To be called when a peer is seen to have a higher offset. Calls
        in quick succession count as one, so that they cannot keep a
        read from ending.
        """
        now = anyio.current_time()
        if now - self._poked_at < _POKE_INTERVAL_S:
            return
        self._poked_at = now
        if self._scope is not None:
            POKES.labels(self._stream).inc()
            self._scope.cancel()

    async def _step(self) -> None:
        asked = self._folds.offset(self._stream)
        page = await self._read(asked)
        if page is None:
            return
        # Peers may have moved the fold on during the read.
        if page.earliest > self._folds.offset(self._stream):
            TRIMS.labels(self._stream).inc()
            await self._loader.load()
            return
        if page.end < asked:
            raise LogError(
                f"the log ends at {page.end}, before offset {asked}"
            )
        await self._apply(page)

    async def _read(self, offset: int) -> Page | None:
        with self._interruptible():
            return await self._log.read(
                self._stream, offset, wait=self._wait_s, limit=_PAGE_RECORDS
            )
        return None

    async def _apply(self, page: Page) -> None:
        self._end = page.end
        self._read_at = anyio.current_time()
        self._pause_s = _FIRST_PAUSE_S
        self._set_healthy(True, "")
        for index, data in enumerate(page.records):
            self._folds.apply(self._stream, page.first + index, data)
            # Heartbeats must not wait for a whole page of records.
            await checkpoint()

    async def _pause(self, longest_s: float) -> None:
        delay = random.uniform(0.5, 1) * longest_s
        with self._interruptible():
            await anyio.sleep(delay)

    def _interruptible(self) -> anyio.CancelScope:
        self._scope = anyio.CancelScope()
        return self._scope

    def _set_healthy(self, healthy: bool, reason: str) -> None:
        if healthy == self._healthy:
            return
        self._healthy = healthy
        if healthy:
            logger.info("reading stream {}", self._stream)
        else:
            logger.warning("cannot read stream {}: {}", self._stream, reason)
