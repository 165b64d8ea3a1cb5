"""The coordinator: appends its decisions while its term lasts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger
from returns.pipeline import is_successful

from burdockgap.coordinator.inbox import Inbox
from burdockgap.coordinator.round import Round
from burdockgap.fold.snapshot import make_chunks
from burdockgap.peer.messages.done import Done
from burdockgap.records.streams import CONTROL

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockgap.clock import Clock
    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.messages.decision import Decision
    from burdockgap.lease.certificates import Certificates
    from burdockgap.logstore.writer import Writer
    from burdockgap.ownership.messages.activation_report import (
        ActivationReport,
    )
    from burdockgap.peer.messages.join import Join
    from burdockgap.peer.messages.leave import Leave
    from burdockgap.peer.messages.load_report import LoadReport
    from burdockgap.records.streams import ControlRecord
    from burdockgap.settings.settings import Settings

_IDLE_ROUND_S = 0.5
_JOINS_QUIET_S = 0.6
_APPEND_TIMEOUT_S = 5.0
_UNABLE_AFTER_S = 2.0


class Coordinator:
    """
    Runs in every daemon; acts only while the fold names this one.

    :param incarnation: id of this process run.
    :param folds: the known assignment and configuration.
    :param writer: appends records and waits until they are folded.
    :param certificates: proofs that sessions have ended.
    :param settings: the daemon's settings.
    :param clock: source of time.
    :ivar inbox: what daemons have told.
    """

    __slots__ = (
        "_balanced_at",
        "_clock",
        "_elected_at",
        "_failing_since",
        "_folds",
        "_incarnation",
        "_joined_at",
        "_owners_changed",
        "_rounds",
        "_settings",
        "_snapshot_offset",
        "_writer",
        "inbox",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        folds: Folds,
        writer: Writer,
        certificates: Certificates,
        settings: Settings,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._folds = folds
        self._writer = writer
        self._settings = settings
        self._clock = clock
        self.inbox = Inbox()
        self._rounds = Round(
            folds=folds,
            inbox=self.inbox,
            certificates=certificates,
            cfg=settings.coordinator,
            witnesses=settings.lease.witnesses,
            clock=clock,
        )
        certificates.listen(self._certified)
        self._elected_at = 0.0
        self._failing_since: float | None = None
        self._balanced_at = 0.0
        self._joined_at = 0.0
        self._owners_changed = True
        folds.listen(self._touched)
        folds.listen_config(self._config_changed)
        self._snapshot_offset = 0

    def is_elected(self) -> bool:
        """Tell whether the fold names this daemon as coordinator."""
        claim = self._folds.control.coordinator
        return claim is not None and claim.incarnation == self._incarnation

    def is_able(self) -> bool:
        """Tell whether appends succeed, or failed only just now."""
        if self._failing_since is None:
            return True
        return self._clock.now() - self._failing_since < _UNABLE_AFTER_S

    async def run(self) -> None:
        """Wait for terms of this daemon and serve them, for ever."""
        while True:
            version = self._folds.version
            if self.is_elected():
                await self._serve_term(self._folds.control.term)
            else:
                await self._folds.wait_beyond(version)

    async def join(self, msg: Join) -> Done:
        """Take a daemon's wish to be admitted."""
        if not self.is_elected():
            return Done(taken=False)
        known = msg.session_id in self.inbox.joins
        if not known and not self._folds.control.is_live(msg.session_id):
            self.inbox.joins[msg.session_id] = msg
            self._joined_at = self._clock.now()
            self.inbox.notify()
        return Done(taken=True)

    async def leave(self, msg: Leave) -> Done:
        """Take a daemon's wish to give up a session."""
        if not self.is_elected():
            return Done(taken=False)
        if self._folds.control.is_live(msg.session_id):
            known = self.inbox.left if msg.final else self.inbox.leaving
            known.add(msg.session_id)
            self._owners_changed = True
            self.inbox.notify()
        return Done(taken=True)

    async def activation(self, msg: ActivationReport) -> Done:
        """Take a report of activated units."""
        if not self.is_elected():
            return Done(taken=False)
        self.inbox.activations.append(msg)
        self.inbox.notify()
        return Done(taken=True)

    async def load(self, msg: LoadReport) -> Done:
        """Take a report of a session's load."""
        if not self.is_elected():
            return Done(taken=False)
        table = self._folds.control.tables.get(msg.service)
        owned = table.units_of(msg.session_id) if table else []
        self.inbox.loads.add(msg, owned)
        return Done(taken=True)

    def _touched(self, touched: ControlEffect) -> None:
        """Note when sessions or services come or go."""
        new_service = bool(touched.service) and not touched.units
        if touched.sessions or touched.replaces_state or new_service:
            self._owners_changed = True

    def _config_changed(self, _decision: Decision) -> None:
        self._owners_changed = True
        self.inbox.notify()

    def _certified(self, _session_id: int) -> None:
        self.inbox.notify()

    async def _serve_term(self, term: int) -> None:
        logger.info("coordinator of term {}", term)
        self.inbox.clear()
        self._elected_at = self._clock.now()
        self._owners_changed = True
        while self.is_elected() and self._folds.control.term == term:
            await self._round()
            await self.inbox.wait(_IDLE_ROUND_S)
            await anyio.sleep(self._settings.coordinator.batch_s)
        logger.info("no longer coordinator of term {}", term)

    async def _round(self) -> None:
        """Append what is due, in the order in which it matters."""
        rounds = self._rounds
        done = await self._append_all(rounds.ends())
        if not done:
            return
        if self._may_admit():
            await self._append_all(
                rounds.admissions(may_be_few=self._bootstrap_is_over())
            )
        await self._append_all(rounds.layouts())
        await self._append_all(rounds.activations())
        if self._owners_changed:
            self._owners_changed = False
            await self._append_all(rounds.required_moves())
        await self._balance()
        await self._snapshot()

    def _may_admit(self) -> bool:
        """Tell whether joins of a new system have ceased to arrive."""
        if self._folds.control.sessions or self._bootstrap_is_over():
            return True
        quiet_s = self._clock.now() - self._joined_at
        return quiet_s > _JOINS_QUIET_S

    def _bootstrap_is_over(self) -> bool:
        waited_s = self._clock.now() - self._elected_at
        return waited_s > self._settings.coordinator.bootstrap_s

    async def _balance(self) -> None:
        now = self._clock.now()
        if (
            now - self._balanced_at
            < self._settings.coordinator.balance_every_s
        ):
            return
        self._balanced_at = now
        self.inbox.loads.keep(set(self._folds.control.sessions))
        await self._append_all(self._rounds.pins())
        await self._append_all(self._rounds.improving_moves())

    async def _snapshot(self) -> None:
        upto = self._folds.offset(CONTROL)
        if upto - self._snapshot_offset < self._settings.log.snapshot_every:
            return
        self._snapshot_offset = upto
        await self._append_all(
            make_chunks(self._folds, term=self._folds.control.term)
        )

    async def _append_all(self, records: Iterable[ControlRecord]) -> bool:
        """Append records one by one; stop at the first that fails."""
        for record in records:
            started = self._clock.now()
            outcome = await self._writer.append_once(
                CONTROL, record, _APPEND_TIMEOUT_S
            )
            if not is_successful(outcome):
                logger.warning("append failed: {}", outcome.failure())
                self._failing_since = self._failing_since or started
                return False
            self._failing_since = None
        return True
