"""The coordinator role: appends decisions during its term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger
from returns.pipeline import is_successful

from burdockgap.coordinator.inbox import Inbox
from burdockgap.coordinator.round_planner import RoundPlanner
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

_ROUND_INTERVAL_MAX_S = 0.5
_JOIN_QUIET_PERIOD_S = 0.6
_APPEND_TIMEOUT_S = 5.0
_APPEND_FAILURE_GRACE_S = 2.0


class Coordinator:
    """
    Runs in every daemon and acts only while this one is elected.

    :param incarnation: id of this process run.
    :param folds: the known assignment and configuration.
    :param writer: appends records and waits until they are folded.
    :param certificates: proofs that sessions have ended.
    :param settings: the daemon's settings.
    :param clock: source of time.
    :ivar inbox: requests and reports of daemons.
    """

    __slots__ = (
        "_balanced_at",
        "_clock",
        "_elected_at",
        "_failing_since",
        "_folds",
        "_incarnation",
        "_last_join_at",
        "_reassignment_due",
        "_planner",
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
        self._planner = RoundPlanner(
            folds=folds,
            inbox=self.inbox,
            certificates=certificates,
            cfg=settings.coordinator,
            witnesses=settings.lease.witnesses,
            clock=clock,
        )
        certificates.listen(self._on_certificate)
        self._elected_at = 0.0
        self._failing_since: float | None = None
        self._balanced_at = 0.0
        self._last_join_at = 0.0
        self._reassignment_due = True
        folds.listen(self._on_control_change)
        folds.listen_config(self._on_config_change)
        self._snapshot_offset = 0

    def is_elected(self) -> bool:
        """Tell whether the fold names this daemon as coordinator."""
        claim = self._folds.control.coordinator
        return claim is not None and claim.incarnation == self._incarnation

    def can_append(self) -> bool:
        """Tell whether appends succeed or began to fail recently."""
        if self._failing_since is None:
            return True
        return (
            self._clock.now() - self._failing_since < _APPEND_FAILURE_GRACE_S
        )

    async def run(self) -> None:
        """Serve each term that this daemon wins, until cancelled."""
        while True:
            version = self._folds.version
            if self.is_elected():
                await self._serve_term(self._folds.control.term)
            else:
                await self._folds.wait_beyond(version)

    async def join(self, msg: Join) -> Done:
        """Queue a daemon's request to admit a session."""
        if not self.is_elected():
            return Done(taken=False)
        known = msg.session_id in self.inbox.joins
        if not known and not self._folds.control.is_live(msg.session_id):
            self.inbox.joins[msg.session_id] = msg
            self._last_join_at = self._clock.now()
            self.inbox.notify()
        return Done(taken=True)

    async def leave(self, msg: Leave) -> Done:
        """Note that a session is leaving or, if final, has left."""
        if not self.is_elected():
            return Done(taken=False)
        if self._folds.control.is_live(msg.session_id):
            sessions = self.inbox.left if msg.final else self.inbox.leaving
            sessions.add(msg.session_id)
            self._reassignment_due = True
            self.inbox.notify()
        return Done(taken=True)

    async def activation(self, msg: ActivationReport) -> Done:
        """Queue a report of activated units."""
        if not self.is_elected():
            return Done(taken=False)
        self.inbox.activations.append(msg)
        self.inbox.notify()
        return Done(taken=True)

    async def load(self, msg: LoadReport) -> Done:
        """Add a session's load report to the averages."""
        if not self.is_elected():
            return Done(taken=False)
        table = self._folds.control.tables.get(msg.service)
        owned = table.units_of(msg.session_id) if table else []
        self.inbox.loads.add(msg, owned)
        return Done(taken=True)

    def _on_control_change(self, change: ControlEffect) -> None:
        """Schedule a reassignment if sessions or services changed."""
        new_service = bool(change.service) and not change.units
        if change.sessions or change.replaces_state or new_service:
            self._reassignment_due = True

    def _on_config_change(self, _decision: Decision) -> None:
        self._reassignment_due = True
        self.inbox.notify()

    def _on_certificate(self, _session_id: int) -> None:
        self.inbox.notify()

    async def _serve_term(self, term: int) -> None:
        logger.info("coordinator of term {}", term)
        self.inbox.clear()
        self._elected_at = self._clock.now()
        self._reassignment_due = True
        while self.is_elected() and self._folds.control.term == term:
            await self._run_round()
            await self.inbox.wait(_ROUND_INTERVAL_MAX_S)
            await anyio.sleep(self._settings.coordinator.batch_s)
        logger.info("no longer coordinator of term {}", term)

    async def _run_round(self) -> None:
        """Append all records that are due, the most urgent first."""
        planner = self._planner
        done = await self._append_all(planner.session_ends())
        if not done:
            return
        if self._may_admit():
            await self._append_all(
                planner.admissions(allow_too_few=self._bootstrap_is_over())
            )
        await self._append_all(planner.layouts())
        await self._append_all(planner.activations())
        if self._reassignment_due:
            self._reassignment_due = False
            await self._append_all(planner.required_moves())
        await self._balance()
        await self._append_snapshot()

    def _may_admit(self) -> bool:
        """
        Tell whether joins may be admitted now.

        In a new system, joins are collected until none has arrived for
        a quiet period, or until the bootstrap time is over.
        """
        if self._folds.control.sessions or self._bootstrap_is_over():
            return True
        quiet_s = self._clock.now() - self._last_join_at
        return quiet_s > _JOIN_QUIET_PERIOD_S

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
        await self._append_all(self._planner.pins())
        await self._append_all(self._planner.improving_moves())

    async def _append_snapshot(self) -> None:
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
                logger.warning(
                    "append of a coordinator record failed: {}",
                    outcome.failure(),
                )
                self._failing_since = self._failing_since or started
                return False
            self._failing_since = None
        return True
