"""The sessions of this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.ownership.own_session import OwnSession
from burdockgap.ownership.unit import is_pin, slice_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.fold.unit_table import UnitTable
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.lease.holder import LeaseHolder
    from burdockgap.records.session_entry import SessionEntry


class OwnSessions:
    """
    Keeps this daemon's sessions in sync with the fold.

    :param service: the service of the target beside the daemon.
    :param folds: the folded state.
    :param make_lease: makes the lease of an admitted session.
    """

    __slots__ = ("_by_id", "_folds", "_make_lease", "_pin_offsets", "service")

    def __init__(
        self,
        *,
        service: str,
        folds: FoldView,
        make_lease: Callable[[SessionEntry], LeaseHolder],
    ) -> None:
        self.service = service
        self._folds = folds
        self._make_lease = make_lease
        self._by_id: dict[int, OwnSession] = {}
        self._pin_offsets: dict[int, int] = {}
        self.resync()
        folds.listen(self.on_touched)

    def open(self, session_id: int) -> OwnSession:
        """Register a session before its admission is requested."""
        session = OwnSession(session_id)
        self._by_id[session_id] = session
        return session

    def find(self, session_id: int) -> OwnSession | None:
        """Return a session of this process run that has not ended."""
        return self._by_id.get(session_id)

    def admitted(self) -> list[OwnSession]:
        """Return the sessions that are admitted and have not ended."""
        return [
            session
            for session in self._by_id.values()
            if session.lease is not None
        ]

    def table(self) -> UnitTable | None:
        """Return the service's unit table; ``None`` if it has none."""
        return self._folds.control.tables.get(self.service)

    def pin_offset(self, pin: int) -> int:
        """Return the ``control`` offset that includes a pin, or 0."""
        return self._pin_offsets.get(pin, 0)

    def on_touched(self, touched: ControlEffect) -> None:
        """Update the sessions and pins that a record changed."""
        if touched.replaces_state:
            self.resync()
            return
        for session_id in touched.sessions:
            self._session_changed(session_id)
        if touched.service == self.service:
            for unit in touched.units:
                if is_pin(unit):
                    self._pin_changed(unit)

    def resync(self) -> None:
        """Update everything after a snapshot replaced the fold."""
        for session_id in list(self._by_id):
            self._session_changed(session_id)
        table = self.table()
        if table is None:
            return
        for pin in {*self._pin_offsets, *table.pins()}:
            self._pin_changed(pin)
        # The records that the snapshot replaced may have removed a pin
        # and added it again.
        for pin in self._pin_offsets:
            self._pin_offsets[pin] = self._folds.control.offset

    def _session_changed(self, session_id: int) -> None:
        session = self._by_id.get(session_id)
        if session is None:
            return
        entry = self._folds.control.sessions.get(session_id)
        if entry is not None and session.lease is None:
            session.admit(self._make_lease(entry))
        if entry is None and session.lease is not None:
            del self._by_id[session_id]
            session.end()

    def _pin_changed(self, pin: int) -> None:
        table = self.table()
        if table is None or table.has_unit(pin) == (pin in self._pin_offsets):
            return
        if table.has_unit(pin):
            self._pin(pin, slice_of(pin, table.slices))
        else:
            self._unpin(pin)

    def _pin(self, pin: int, parent: int) -> None:
        self._pin_offsets[pin] = self._folds.control.offset
        for session in self.admitted():
            session.holdings.pin(pin, parent)

    def _unpin(self, pin: int) -> None:
        del self._pin_offsets[pin]
        for session in self.admitted():
            session.holdings.unpin(pin)
            session.pending.pop(pin, None)
