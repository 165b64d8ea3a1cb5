"""Takes over the units that this daemon's sessions may hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.ownership.activation_rule import blockers, claimable_epoch
from burdockgap.ownership.messages.activation_report import ActivationReport
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.pending_unit import PendingUnit
from burdockgap.records.streams import CONTROL

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.lease.certificates import Certificates
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.ownership.messages.released import Released
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.ownership.own_sessions import OwnSessions

_UNITS_PER_REQUEST = 2048


class Activator:
    """
    Decides which units to activate and whom to ask for a release first.

    Works unit by unit from what records, certificates and releases
    change.

    :param sessions: this daemon's sessions.
    :param folds: the folds.
    :param certificates: proofs that holders have stopped.
    :param on_active: called with a session that activated units.
    :param on_asking: called with a holder that is to be asked.
    :ivar unreported: epoch of each active unit whose earlier holders
        the fold still lists.
    """

    __slots__ = (
        "_certificates",
        "_folds",
        "_on_active",
        "_on_asking",
        "_sessions",
        "_waiting",
        "unreported",
    )

    def __init__(
        self,
        *,
        sessions: OwnSessions,
        folds: FoldView,
        certificates: Certificates,
        on_active: Callable[[OwnSession], None],
        on_asking: Callable[[int], None],
    ) -> None:
        self._sessions = sessions
        self._folds = folds
        self._certificates = certificates
        self._on_active = on_active
        self._on_asking = on_asking
        self._waiting: dict[int, set[int]] = {}
        self.unreported: dict[int, int] = {}
        folds.listen(self.on_touched)
        certificates.listen(self.on_certificate)

    def on_touched(self, touched: ControlEffect) -> None:
        """Take in what a record changed."""
        if touched.replaces_state:
            self.resync()
            return
        control = self._folds.control
        for session_id in touched.sessions:
            if not control.is_live(session_id):
                self._gone(session_id)
        if touched.service == self._sessions.service:
            self._consider(touched.units)

    def on_certificate(self, session_id: int) -> None:
        """Take in the proof that a session's holder has stopped."""
        entry = self._folds.control.sessions.get(session_id)
        table = self._sessions.table()
        if entry is None or table is None:
            return
        own = {session.session_id for session in self._sessions.admitted()}
        if own.intersection(entry.successors):
            self._consider(table.units_of(session_id))
        self._gone(session_id)

    def resync(self) -> None:
        """Take in the whole fold after it was replaced."""
        table = self._sessions.table()
        if table is not None:
            self._consider(table.units())

    def on_released(self, released: Released) -> None:
        """Take in the answer of an earlier holder."""
        for unit, floor in zip(released.units, released.floors, strict=False):
            for session in self._sessions.admitted():
                pending = session.pending.get(unit)
                if pending is not None:
                    pending.released(released.session_id, floor)
        self._consider(released.units)

    def next_request(self, holder: int) -> Release | None:
        """Return what to ask a holder for, ``None`` if nothing."""
        epochs = self._wanted_of(holder)
        if not epochs:
            self._waiting.pop(holder, None)
            return None
        units = list(epochs)[:_UNITS_PER_REQUEST]
        return Release(
            session_id=holder,
            service=self._sessions.service,
            units=units,
            epochs=[epochs[unit] for unit in units],
            control_offset=self._folds.offset(CONTROL),
        )

    def heir_of(self, unit: int) -> OwnSession | None:
        """Return the own session that is about to activate a unit."""
        for session in self._sessions.admitted():
            if unit in session.pending:
                return session
        return None

    def next_report(self) -> ActivationReport | None:
        """Return the units to report, ``None`` if there are none."""
        for session in self._sessions.admitted():
            reported = self._reportable(session)
            if reported:
                units = list(reported)[:_UNITS_PER_REQUEST]
                return ActivationReport(
                    session_id=session.session_id,
                    service=self._sessions.service,
                    units=units,
                    epochs=[reported[unit] for unit in units],
                )
        return None

    def _gone(self, holder: int) -> None:
        self._consider(self._waiting.pop(holder, ()))

    def _consider(self, units: Iterable[int]) -> None:
        units = list(units)
        if self._sessions.table() is None:
            return
        for session in self._sessions.admitted():
            active = [
                unit for unit in units if self._consider_unit(session, unit)
            ]
            if active:
                self._on_active(session)
        for unit in units:
            self._note_report(unit)

    def _consider_unit(self, session: OwnSession, unit: int) -> bool:
        epoch = claimable_epoch(
            self._folds.control,
            self._certificates,
            self._sessions.service,
            session.session_id,
            unit,
        )
        holdings = session.holdings
        if epoch <= holdings.epoch(unit) or epoch < holdings.floor(unit):
            session.pending.pop(unit, None)
            # A pin is active at once, but the target must learn of it.
            return not session.is_granted(unit)
        pending = self._pend(session, unit, epoch)
        if self._ask_blockers(session, unit, pending):
            return False
        del session.pending[unit]
        return holdings.activate(unit, epoch)

    def _pend(self, session: OwnSession, unit: int, epoch: int) -> PendingUnit:
        pending = session.pending.get(unit)
        if pending is None:
            pending = PendingUnit(epoch)
            session.pending[unit] = pending
        pending.epoch = epoch
        return pending

    def _ask_blockers(
        self, session: OwnSession, unit: int, pending: PendingUnit
    ) -> bool:
        holders = self._blockers(session, unit, pending)
        for holder in holders:
            self._waiting.setdefault(holder, set()).add(unit)
            self._on_asking(holder)
        return bool(holders)

    def _blockers(
        self, session: OwnSession, unit: int, pending: PendingUnit
    ) -> list[int]:
        return blockers(
            self._folds.control,
            self._certificates,
            self._sessions.service,
            session.session_id,
            unit,
            pending,
        )

    def _wanted_of(self, holder: int) -> dict[int, int]:
        epochs: dict[int, int] = {}
        for unit in sorted(self._waiting.get(holder, ())):
            epoch = self._wanted_epoch(holder, unit)
            if epoch:
                epochs[unit] = epoch
            else:
                self._waiting[holder].discard(unit)
        return epochs

    def _wanted_epoch(self, holder: int, unit: int) -> int:
        wanted = 0
        for session in self._sessions.admitted():
            pending = session.pending.get(unit)
            if pending is None:
                continue
            if holder in self._blockers(session, unit, pending):
                wanted = max(wanted, pending.epoch)
        return wanted

    def _note_report(self, unit: int) -> None:
        table = self._sessions.table()
        if (
            table is None
            or not table.has_unit(unit)
            or not table.earlier_holders(unit)
        ):
            self.unreported.pop(unit, None)
            return
        owner = self._sessions.find(table.owner(unit))
        if owner is None or owner.holdings.epoch(unit) != table.epoch(unit):
            self.unreported.pop(unit, None)
            return
        self.unreported[unit] = table.epoch(unit)

    def _reportable(self, session: OwnSession) -> dict[int, int]:
        return {
            unit: epoch
            for unit, epoch in self.unreported.items()
            if session.holdings.epoch(unit) == epoch
        }
