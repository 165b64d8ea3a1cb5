"""Activation of the units that this daemon's sessions may hold."""

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

_MAX_UNITS_PER_MESSAGE = 2048


class Activator:
    """
    Decides which units to activate and who must release them first.

    Evaluates only the units that a record, certificate or release
    affects.

    :param sessions: this daemon's sessions.
    :param folds: the folded state.
    :param certificates: the expiry certificates of other sessions.
    :param on_active: called with a session that activated units.
    :param on_release_needed: called with the session id of a holder
        that must release units.
    :ivar unreported: epoch of each active unit whose earlier holders
        the fold still lists.
    """

    __slots__ = (
        "_certificates",
        "_folds",
        "_on_active",
        "_on_release_needed",
        "_sessions",
        "_awaiting_release",
        "unreported",
    )

    def __init__(
        self,
        *,
        sessions: OwnSessions,
        folds: FoldView,
        certificates: Certificates,
        on_active: Callable[[OwnSession], None],
        on_release_needed: Callable[[int], None],
    ) -> None:
        self._sessions = sessions
        self._folds = folds
        self._certificates = certificates
        self._on_active = on_active
        self._on_release_needed = on_release_needed
        self._awaiting_release: dict[int, set[int]] = {}
        self.unreported: dict[int, int] = {}
        folds.listen(self.on_touched)
        certificates.listen(self.on_certificate)

    def on_touched(self, touched: ControlEffect) -> None:
        """Evaluate the units that a record affects."""
        if touched.replaces_state:
            self.resync()
            return
        control = self._folds.control
        for session_id in touched.sessions:
            if not control.is_live(session_id):
                self._on_holder_stopped(session_id)
        if touched.service == self._sessions.service:
            self._evaluate(touched.units)

    def on_certificate(self, session_id: int) -> None:
        """Evaluate the units that a stopped session holds or blocks."""
        entry = self._folds.control.sessions.get(session_id)
        table = self._sessions.table()
        if entry is None or table is None:
            return
        own = {session.session_id for session in self._sessions.admitted()}
        if own.intersection(entry.successors):
            self._evaluate(table.units_of(session_id))
        self._on_holder_stopped(session_id)

    def resync(self) -> None:
        """Evaluate all units after a snapshot replaced the fold."""
        table = self._sessions.table()
        if table is not None:
            self._evaluate(table.units())

    def on_released(self, released: Released) -> None:
        """Apply an earlier holder's answer to a release request."""
        for unit, floor in zip(released.units, released.floors, strict=False):
            for session in self._sessions.admitted():
                pending = session.pending.get(unit)
                if pending is not None:
                    pending.record_release(released.session_id, floor)
        self._evaluate(released.units)

    def next_request(self, holder: int) -> Release | None:
        """Return the next request to a holder, ``None`` if none."""
        epochs = self._epochs_to_request(holder)
        if not epochs:
            self._awaiting_release.pop(holder, None)
            return None
        units = list(epochs)[:_MAX_UNITS_PER_MESSAGE]
        return Release(
            session_id=holder,
            service=self._sessions.service,
            units=units,
            epochs=[epochs[unit] for unit in units],
            control_offset=self._folds.offset(CONTROL),
        )

    def pending_session(self, unit: int) -> OwnSession | None:
        """Return the local session that is about to activate a unit."""
        for session in self._sessions.admitted():
            if unit in session.pending:
                return session
        return None

    def next_report(self) -> ActivationReport | None:
        """Return the next report, ``None`` if no unit is unreported."""
        for session in self._sessions.admitted():
            reportable = self._reportable(session)
            if reportable:
                units = list(reportable)[:_MAX_UNITS_PER_MESSAGE]
                return ActivationReport(
                    session_id=session.session_id,
                    service=self._sessions.service,
                    units=units,
                    epochs=[reportable[unit] for unit in units],
                )
        return None

    def _on_holder_stopped(self, holder: int) -> None:
        self._evaluate(self._awaiting_release.pop(holder, ()))

    def _evaluate(self, units: Iterable[int]) -> None:
        units = list(units)
        if self._sessions.table() is None:
            return
        for session in self._sessions.admitted():
            active = [
                unit for unit in units if self._evaluate_unit(session, unit)
            ]
            if active:
                self._on_active(session)
        for unit in units:
            self._update_unreported(unit)

    def _evaluate_unit(self, session: OwnSession, unit: int) -> bool:
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
            # A pin of an active slice is active at once, but the target
            # has no grant for it yet.
            return not session.is_granted(unit)
        pending = self._set_pending(session, unit, epoch)
        if self._request_releases(session, unit, pending):
            return False
        del session.pending[unit]
        return holdings.activate(unit, epoch)

    def _set_pending(
        self, session: OwnSession, unit: int, epoch: int
    ) -> PendingUnit:
        pending = session.pending.get(unit)
        if pending is None:
            pending = PendingUnit(epoch)
            session.pending[unit] = pending
        pending.epoch = epoch
        return pending

    def _request_releases(
        self, session: OwnSession, unit: int, pending: PendingUnit
    ) -> bool:
        holders = self._blockers(session, unit, pending)
        for holder in holders:
            self._awaiting_release.setdefault(holder, set()).add(unit)
            self._on_release_needed(holder)
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

    def _epochs_to_request(self, holder: int) -> dict[int, int]:
        epochs: dict[int, int] = {}
        for unit in sorted(self._awaiting_release.get(holder, ())):
            epoch = self._epoch_to_request(holder, unit)
            if epoch:
                epochs[unit] = epoch
            else:
                self._awaiting_release[holder].discard(unit)
        return epochs

    def _epoch_to_request(self, holder: int, unit: int) -> int:
        highest = 0
        for session in self._sessions.admitted():
            pending = session.pending.get(unit)
            if pending is None:
                continue
            if holder in self._blockers(session, unit, pending):
                highest = max(highest, pending.epoch)
        return highest

    def _update_unreported(self, unit: int) -> None:
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
