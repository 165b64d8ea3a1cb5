"""Finding a place in the log from which folding can go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.fold.restore import (
    decode_snapshot,
    restore_config,
    restore_control,
)
from burdockgap.fold.snapshot_collector import SnapshotCollector
from burdockgap.logstore.errors import LogTrimmed
from burdockgap.records.snapshot_chunk import SnapshotChunk
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire import DecodeError, unpack

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.messages.fold_snapshot import FoldSnapshot
    from burdockgap.logstore.log import Log

_PAGE_RECORDS = 100


class SnapshotLoader:
    """
    Installs a snapshot where the log has forgotten records.

    :param log: the log.
    :param folds: the folds to bring to a readable offset.
    """

    __slots__ = ("_folds", "_lock", "_log")

    def __init__(self, log: Log, folds: Folds) -> None:
        self._log = log
        self._folds = folds
        self._lock = anyio.Lock()

    async def load(self) -> None:
        """
        Bring both folds to offsets that the log still keeps.

        Does nothing if they are there already. Otherwise installs the
        newest whole snapshot from which both streams can be read on.

        :raises LogTrimmed: if there is no such snapshot.
        :raises LogUnavailable: if the log does not answer.
        """
        async with self._lock:
            control = await self._earliest(CONTROL)
            config = await self._earliest(CONFIG)
            if self._can_go_on(control, config):
                return
            snapshots = await self._collect(control)
            self._install_first(snapshots, control, config)

    async def _earliest(self, stream: str) -> int:
        offset = self._folds.offset(stream)
        page = await self._log.read(stream, offset, wait=0, limit=1)
        return page.earliest

    def _can_go_on(self, control: int, config: int) -> bool:
        return (
            self._folds.offset(CONTROL) >= control
            and self._folds.offset(CONFIG) >= config
        )

    async def _collect(self, earliest: int) -> list[bytes]:
        collector = SnapshotCollector()
        offset = earliest
        while True:
            page = await self._log.read(
                CONTROL, offset, wait=0, limit=_PAGE_RECORDS
            )
            for data in page.records:
                _add_chunk(collector, data)
            offset = page.first + len(page.records)
            if not page.records or offset >= page.end:
                return collector.newest_first()

    def _install_first(
        self, snapshots: list[bytes], control: int, config: int
    ) -> None:
        for data in snapshots:
            try:
                if self._install_if_fits(data, control, config):
                    return
            except DecodeError as exc:
                logger.warning("snapshot passed over: {}", exc)
        raise LogTrimmed(
            "the log has forgotten records that no whole snapshot covers"
        )

    def _fits(self, snapshot: FoldSnapshot, control: int, config: int) -> bool:
        # A fold that is ahead of the snapshot keeps its own state.
        next_control = max(
            snapshot.control.offset, self._folds.offset(CONTROL)
        )
        next_config = max(snapshot.config.offset, self._folds.offset(CONFIG))
        return next_control >= control and next_config >= config

    def _install_if_fits(self, data: bytes, control: int, config: int) -> bool:
        snapshot = decode_snapshot(data)
        if not self._fits(snapshot, control, config):
            return False
        self._folds.install(
            restore_control(snapshot.control), restore_config(snapshot.config)
        )
        logger.info(
            "snapshot installed: control from {}, config from {}",
            snapshot.control.offset,
            snapshot.config.offset,
        )
        return True


def _add_chunk(collector: SnapshotCollector, data: bytes) -> None:
    try:
        chunk = unpack(data, SnapshotChunk)
    except DecodeError:
        return
    collector.add(chunk)
