"""Records for the coordinator's next round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.coordinator.admission import Admission
from burdockgap.coordinator.balance import Balancer
from burdockgap.coordinator.pinning import (
    choose_cooled,
    choose_pins,
    may_unpin,
    moves_to_slice_owner,
)
from burdockgap.coordinator.roster import Roster
from burdockgap.records.activated import Activated
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.unpin import Unpin
from burdockgap.wire.ids import new_id

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.clock import Clock
    from burdockgap.coordinator.inbox import Inbox
    from burdockgap.coordinator.move import Move
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.unit_table import UnitTable
    from burdockgap.lease.certificates import Certificates
    from burdockgap.records.streams import ControlRecord
    from burdockgap.settings.sections import CoordinatorSettings

_BASE_WEIGHT_SHARE = 0.1
_BASE_WEIGHT_MIN = 1e-3
_UNITS_PER_RECORD = 2048
_SESSIONS_PER_RECORD = 32


class RoundPlanner:
    """
    Computes the records of a round from the folds and the inbox.

    Each method yields records for one kind of decision. The caller must
    append each record and wait until the fold has applied it before it
    asks for the next one.

    :param folds: the known assignment and configuration.
    :param inbox: requests and reports of daemons.
    :param certificates: proofs that sessions have ended.
    :param cfg: the coordinator's settings.
    :param witnesses: number of witnesses of a session.
    :param clock: source of wall-clock time.
    """

    __slots__ = (
        "_certificates",
        "_cfg",
        "_clock",
        "_folds",
        "_inbox",
        "_witnesses",
    )

    def __init__(
        self,
        *,
        folds: Folds,
        inbox: Inbox,
        certificates: Certificates,
        cfg: CoordinatorSettings,
        witnesses: int,
        clock: Clock,
    ) -> None:
        self._folds = folds
        self._inbox = inbox
        self._certificates = certificates
        self._cfg = cfg
        self._witnesses = witnesses
        self._clock = clock

    def session_ends(self) -> Iterator[ControlRecord]:
        """
        Yield an ``Ended`` record for each session that is over.

        A session ends if a certificate proves its expiry, if it has
        left, or if an operator has ended it.
        """
        control = self._folds.control
        for session_id in self._certificates.completed():
            if control.is_live(session_id):
                promised_by = self._certificates.promised_by(session_id)
                yield self._end_record(session_id, "expired", promised_by)
        for session_id in list(self._inbox.left):
            if control.is_live(session_id):
                yield self._end_record(session_id, "left", [])
            self._inbox.left.discard(session_id)
            self._inbox.leaving.discard(session_id)
        for session_id in list(self._folds.config.ended_sessions):
            if control.is_live(session_id):
                yield self._end_record(session_id, "operator", [])

    def admissions(self, *, allow_too_few: bool) -> Iterator[ControlRecord]:
        """
        Yield the admission of all waiting joins in limited batches.

        Other tasks can run between two records, however many joins are
        waiting.

        :param allow_too_few: admit even if there are too few daemons
            for the wanted number of witnesses.
        """
        control = self._folds.control
        for session_id in list(self._inbox.joins):
            if control.is_live(session_id):
                del self._inbox.joins[session_id]
        joins = list(self._inbox.joins.values())
        if not joins:
            return
        admission = Admission(
            control=control,
            joins=joins,
            witnesses=self._witnesses,
            excluded=self._inbox.leaving,
        )
        if admission.member_count() <= self._witnesses and not allow_too_few:
            return
        for entries in admission.batches(_SESSIONS_PER_RECORD):
            yield Admit(
                record_id=new_id(),
                term=control.term,
                at=self._clock.wall(),
                sessions=entries,
            )
            for entry in entries:
                self._inbox.joins.pop(entry.session_id, None)

    def layouts(self) -> Iterator[ControlRecord]:
        """Yield the slice layout of each keyed service without one."""
        control = self._folds.control
        for name, cfg in self._folds.config.document.services.items():
            if cfg.keyed and name not in control.tables:
                yield Layout(
                    record_id=new_id(),
                    term=control.term,
                    service=name,
                    slices=cfg.slices,
                )

    def activations(self) -> Iterator[ControlRecord]:
        """Yield one record for each report of activated units."""
        reports = self._inbox.activations
        self._inbox.activations = []
        for report in reports:
            yield Activated(
                record_id=new_id(),
                term=self._folds.control.term,
                service=report.service,
                units=report.units,
                epochs=report.epochs,
            )

    def required_moves(self) -> Iterator[ControlRecord]:
        """Yield the moves of units whose owner is not eligible."""
        for service, table in self._folds.control.tables.items():
            moves = self._balancer(service, table).required()
            yield from self._assign_records(service, moves, "required")

    def improving_moves(self) -> Iterator[ControlRecord]:
        """Yield a limited number of moves that reduce the imbalance."""
        for service, table in self._folds.control.tables.items():
            moves = self._balancer(service, table).improving(
                limit=self._cfg.imbalance,
                max_moves=max(
                    1, int(table.slices * self._cfg.max_moves_share)
                ),
            )
            yield from self._assign_records(service, moves, "balance")

    def pins(self) -> Iterator[ControlRecord]:
        """Yield pins of hot keys and the removal of cooled pins."""
        control = self._folds.control
        for service, table in control.tables.items():
            owners = self._roster(service).eligible
            rates = self._inbox.loads.keys(owners)
            total = self._inbox.loads.total(owners)
            hot = choose_pins(
                table,
                rates,
                total=total,
                share=self._cfg.hot_share,
                limit=self._cfg.pins,
            )
            for unit in hot:
                yield Pin(
                    record_id=new_id(),
                    term=control.term,
                    at=self._clock.wall(),
                    service=service,
                    unit=unit,
                )
            cooled = choose_cooled(
                table, rates, total=total, share=self._cfg.hot_share
            )
            yield from self._assign_records(
                service, moves_to_slice_owner(table, cooled), "cooled"
            )
            for unit in cooled:
                if not may_unpin(table, unit):
                    continue
                yield Unpin(
                    record_id=new_id(),
                    term=control.term,
                    at=self._clock.wall(),
                    service=service,
                    unit=unit,
                )

    def _end_record(
        self, session_id: int, cause: str, promised_by: list[int]
    ) -> Ended:
        return Ended(
            record_id=new_id(),
            term=self._folds.control.term,
            at=self._clock.wall(),
            session_id=session_id,
            cause=cause,
            promised_by=promised_by,
        )

    def _roster(self, service: str) -> Roster:
        return Roster(
            control=self._folds.control,
            config=self._folds.config,
            service=service,
            leaving=self._inbox.leaving,
        )

    def _balancer(self, service: str, table: UnitTable) -> Balancer:
        weights = self._inbox.loads.units(service)
        mean = sum(weights.values()) / table.slices
        return Balancer(
            table=table,
            roster=self._roster(service),
            weights=weights,
            base_weight=max(_BASE_WEIGHT_SHARE * mean, _BASE_WEIGHT_MIN),
        )

    def _assign_records(
        self, service: str, moves: list[Move], cause: str
    ) -> Iterator[Assign]:
        for start in range(0, len(moves), _UNITS_PER_RECORD):
            batch = moves[start : start + _UNITS_PER_RECORD]
            yield Assign(
                record_id=new_id(),
                term=self._folds.control.term,
                at=self._clock.wall(),
                service=service,
                cause=cause,
                units=[move.unit for move in batch],
                owners=[move.owner for move in batch],
            )
