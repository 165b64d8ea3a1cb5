"""The folded states of both streams and their listeners."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, cast

import anyio

from burdockgap.fold.config_state import ConfigState
from burdockgap.fold.control_effect import ControlEffect
from burdockgap.fold.control_state import ControlState
from burdockgap.fold.messages.decision import Decision
from burdockgap.fold.metrics import RECORDS, SNAPSHOTS, UNDECODABLE
from burdockgap.fold.recent_records import RecentRecords
from burdockgap.fold.record_watch import RecordWatch
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.streams import (
    CONFIG,
    CONFIG_KINDS,
    CONTROL,
    CONTROL_KINDS,
)
from burdockgap.wire import DecodeError, unpack

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from burdockgap.fold.messages.audit_entry import AuditEntry
    from burdockgap.records.streams import ControlRecord


class Folds:
    """
    Folds encoded records of both streams and reports the changes.

    :meth:`install` replaces ``config`` and ``control`` by the states of
    a snapshot, so callers read them again for each use and keep no
    reference to a part of them.

    :ivar config: the configuration.
    :ivar control: sessions and assignments.
    :ivar version: incremented with every record and snapshot.
    :ivar installs: number of snapshots installed.
    :ivar undecodable: number of records skipped as undecodable.
    """

    __slots__ = (
        "_changed",
        "_config_listeners",
        "_control_listeners",
        "_recent",
        "_watches",
        "config",
        "control",
        "installs",
        "undecodable",
        "version",
    )

    def __init__(self) -> None:
        self.config = ConfigState()
        self.control = ControlState()
        self.version = 0
        self.installs = 0
        self.undecodable = 0
        self._recent = {CONFIG: RecentRecords(), CONTROL: RecentRecords()}
        self._control_listeners: list[Callable[[ControlEffect], None]] = []
        self._config_listeners: list[Callable[[Decision], None]] = []
        self._changed: anyio.Event | None = None
        self._watches: dict[int, RecordWatch] = {}

    @property
    def audit(self) -> list[AuditEntry]:
        """The entries of both audit trails by time, oldest first."""
        entries = self.config.audit.entries() + self.control.audit.entries()
        return sorted(entries, key=lambda entry: entry.at)

    def offset(self, stream: str) -> int:
        """Return the offset of the next record to apply."""
        state = self.config if stream == CONFIG else self.control
        return state.offset

    def was_applied(self, stream: str, record_id: int) -> bool:
        """Tell whether an id is among the newest that were applied."""
        state = self.config if stream == CONFIG else self.control
        return record_id in state.seen

    def recent(
        self, stream: str, from_offset: int, limit: int
    ) -> list[bytes] | None:
        """
        Return encoded records from an offset on.

        :return: ``None`` if the first of them is no longer kept.
        """
        return self._recent[stream].read(from_offset, limit)

    def apply(self, stream: str, offset: int, data: bytes) -> bool:
        """
        Apply the encoded record at an offset.

        A record that cannot be decoded is counted and skipped.

        :return: whether the record was the next one; any other record
            has no effect.
        """
        if offset != self.offset(stream):
            return False
        RECORDS.labels(stream).inc()
        self._recent[stream].add(offset, data)
        if stream == CONFIG:
            decision = self._apply_config(offset, data)
            self._wake_waiters()
            self._notify_config_listeners(decision)
        else:
            effect = self._apply_control(offset, data)
            self._wake_waiters()
            self._notify_control_listeners(effect)
        return True

    def install(self, control: ControlState, config: ConfigState) -> None:
        """
        Replace each state that is behind that of a snapshot.

        Listeners are then called: those of control records with an
        effect that has ``replaces_state``, those of configuration
        changes with an accepted decision.
        """
        self.installs += 1
        SNAPSHOTS.inc()
        newer_control = control.offset > self.control.offset
        newer_config = config.offset > self.config.offset
        if newer_control:
            self.control = control
            self._recent[CONTROL].reset(control.offset)
        if newer_config:
            self.config = config
            self._recent[CONFIG].reset(config.offset)
        self._wake_waiters()
        if newer_control:
            self._notify_control_listeners(ControlEffect(replaces_state=True))
        if newer_config:
            version = config.version
            self._notify_config_listeners(
                Decision(accepted=True, reason="", version=version)
            )

    def listen(self, callback: Callable[[ControlEffect], None]) -> None:
        """Call back after each control record that has an effect."""
        self._control_listeners.append(callback)

    def listen_config(self, callback: Callable[[Decision], None]) -> None:
        """Call back after each decision on a configuration change."""
        self._config_listeners.append(callback)

    @contextmanager
    def watch(self, stream: str, record_id: int) -> Iterator[RecordWatch]:
        """
        Watch for a record while the context is active.

        If it was applied already, ``offset`` is that of the newest
        applied record.
        """
        record_watch = RecordWatch()
        if self.was_applied(stream, record_id):
            record_watch.offset = self.offset(stream) - 1
        self._watches[record_id] = record_watch
        try:
            yield record_watch
        finally:
            self._watches.pop(record_id, None)

    async def wait_beyond(self, version: int) -> int:
        """Wait for a version above ``version`` and return it."""
        while self.version <= version:
            await self._wait_change()
        return self.version

    async def wait_offset(
        self, stream: str, offset: int, timeout_s: float
    ) -> bool:
        """
        Wait until every record below an offset is applied.

        :return: whether they were all applied before the timeout.
        """
        with anyio.move_on_after(timeout_s):
            while self.offset(stream) < offset:
                await self._wait_change()
        return self.offset(stream) >= offset

    def _apply_config(self, offset: int, data: bytes) -> Decision | None:
        try:
            record = unpack(data, CONFIG_KINDS)
        except DecodeError:
            self._count_undecodable(CONFIG)
            self.config.skip(offset)
            return None
        if not isinstance(record, ConfigChange):
            self.config.skip(offset)
            return None
        self._set_watched_offset(offset, record.record_id)
        repeated = record.record_id in self.config.seen
        decision = self.config.apply(offset, record)
        return None if repeated else decision

    def _apply_control(self, offset: int, data: bytes) -> ControlEffect | None:
        try:
            record = cast("ControlRecord", unpack(data, CONTROL_KINDS))
        except DecodeError:
            self._count_undecodable(CONTROL)
            self.control.skip(offset)
            return None
        self._set_watched_offset(offset, record.record_id)
        effect = self.control.apply(offset, record)
        return effect if effect.effective else None

    def _set_watched_offset(self, offset: int, record_id: int) -> None:
        record_watch = self._watches.get(record_id)
        if record_watch is not None and record_watch.offset is None:
            record_watch.offset = offset

    def _count_undecodable(self, stream: str) -> None:
        self.undecodable += 1
        UNDECODABLE.labels(stream).inc()

    def _notify_config_listeners(self, decision: Decision | None) -> None:
        if decision is None:
            return
        for callback in self._config_listeners:
            callback(decision)

    def _notify_control_listeners(self, effect: ControlEffect | None) -> None:
        if effect is None:
            return
        for callback in self._control_listeners:
            callback(effect)

    def _wake_waiters(self) -> None:
        self.version += 1
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_change(self) -> None:
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()
