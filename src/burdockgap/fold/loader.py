"""Loading of snapshots in place of trimmed records of the log."""

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
    Installs a snapshot if the log has trimmed records to be folded.

    :param log: the log.
    :param folds: the folds to install the snapshot in.
    """

    __slots__ = ("_folds", "_lock", "_log")

    def __init__(self, log: Log, folds: Folds) -> None:
        self._log = log
        self._folds = folds
        self._lock = anyio.Lock()

    async def load(self) -> None:
        """
        Advance both folds to offsets that the log still keeps.

        Does nothing if the log still keeps the next record of both
        streams. Otherwise installs the newest complete snapshot after
        which both streams can be read without a gap.

        :raises LogTrimmed: if there is no such snapshot.
        :raises LogUnavailable: if the log does not answer.
        """
        async with self._lock:
            control = await self._earliest_offset(CONTROL)
            config = await self._earliest_offset(CONFIG)
            if self._can_read_on(control, config):
                return
            snapshots = await self._collect_snapshots(control)
            self._install_newest_usable(snapshots, control, config)

    async def _earliest_offset(self, stream: str) -> int:
        offset = self._folds.offset(stream)
        page = await self._log.read(stream, offset, wait=0, limit=1)
        return page.earliest

    def _can_read_on(self, control: int, config: int) -> bool:
        return (
            self._folds.offset(CONTROL) >= control
            and self._folds.offset(CONFIG) >= config
        )

    async def _collect_snapshots(self, earliest: int) -> list[bytes]:
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

    def _install_newest_usable(
        self, snapshots: list[bytes], control: int, config: int
    ) -> None:
        for data in snapshots:
            try:
                if self._install_if_usable(data, control, config):
                    return
            except DecodeError as exc:
                logger.warning("unusable snapshot skipped: {}", exc)
        raise LogTrimmed(
            "the log has forgotten records that no whole snapshot covers"
        )

    def _is_usable(
        self, snapshot: FoldSnapshot, control: int, config: int
    ) -> bool:
        # A fold that is ahead of the snapshot keeps its own state.
        next_control = max(
            snapshot.control.offset, self._folds.offset(CONTROL)
        )
        next_config = max(snapshot.config.offset, self._folds.offset(CONFIG))
        return next_control >= control and next_config >= config

    def _install_if_usable(
        self, data: bytes, control: int, config: int
    ) -> bool:
        snapshot = decode_snapshot(data)
        if not self._is_usable(snapshot, control, config):
            return False
        self._folds.install(
            restore_control(snapshot.control), restore_config(snapshot.config)
        )
        logger.info(
            "snapshot installed; next offsets: control {}, config {}",
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
