"""The gate's permits, based on leases and ownership."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, NoReturn

from burdockgap.ownership.activation_rule import expected_holder
from burdockgap.ownership.lease_permit import LeasePermit
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.clock import Clock
    from burdockgap.lease.certificates import Certificates
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.ownership.own_sessions import OwnSessions


class Guard:
    """
    Permits dispatches under a lease, keyed ones only for owned keys.

    :param sessions: this daemon's sessions.
    :param folds: the folded state, to name the owner in refusals.
    :param certificates: the expiry certificates of owners.
    :param clock: the source of elapsed time.
    :param margin_s: how much earlier than the lease permits end; above
        zero for targets that do not check grants.
    """

    __slots__ = ("_certificates", "_clock", "_folds", "_sessions", "margin_s")

    def __init__(
        self,
        *,
        sessions: OwnSessions,
        folds: FoldView,
        certificates: Certificates,
        clock: Clock,
        margin_s: float,
    ) -> None:
        self._sessions = sessions
        self._folds = folds
        self._certificates = certificates
        self._clock = clock
        self.margin_s = margin_s

    def check(self, key_hash: int | None) -> None:
        """
        Raise the refusal that :meth:`enter` would raise now.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        if key_hash is None:
            self._leased_session()
        else:
            self._active_session(self._unit_of(key_hash))

    @contextmanager
    def enter(self, key_hash: int | None) -> Iterator[LeasePermit]:
        """
        Permit one dispatch; the context lasts until the work has ended.

        :param key_hash: hash of the key, ``None`` for unkeyed requests.
        :raises Refusal: with ``not-run``.
        """
        if key_hash is None:
            self._leased_session()
            yield self._unkeyed_permit()
            return
        unit = self._unit_of(key_hash)
        session = self._active_session(unit)
        permit = self._keyed_permit(session, unit)
        item = session.holdings.start_work(key_hash, permit)
        try:
            yield permit
        finally:
            session.holdings.finish_work(item)

    def _unkeyed_permit(self) -> LeasePermit:
        return LeasePermit(
            unit=None,
            epoch=0,
            sessions=self._sessions.admitted,
            margin_s=self.margin_s,
        )

    def _keyed_permit(self, session: OwnSession, unit: int) -> LeasePermit:
        return LeasePermit(
            unit=unit,
            epoch=session.holdings.epoch(unit),
            sessions=lambda: [session],
            margin_s=self.margin_s,
        )

    def _leased_session(self) -> OwnSession:
        now = self._clock.now()
        for session in self._sessions.admitted():
            if session.is_held(now, self.margin_s):
                return session
        raise _refusal(Reason.NO_LEASE, "this daemon holds no lease now")

    def _unit_of(self, key_hash: int) -> int:
        table = self._sessions.table()
        if table is None:
            raise _refusal(Reason.NO_OWNER, "the service has no slices yet")
        return table.unit_of(key_hash)

    def _active_session(self, unit: int) -> OwnSession:
        now = self._clock.now()
        expired = False
        for session in self._sessions.admitted():
            if not session.holdings.epoch(unit):
                continue
            if not session.is_held(now, self.margin_s):
                expired = True
            elif session.is_granted(unit):
                return session
            else:
                raise _refusal(
                    Reason.ACTIVATING, "the target has no grant yet; try again"
                )
        if expired:
            raise _refusal(Reason.NO_LEASE, "the owner's lease has lapsed")
        self._refuse(unit)
        return None

    def _refuse(self, unit: int) -> NoReturn:
        control = self._folds.control
        holder = expected_holder(
            control, self._certificates, self._sessions.service, unit
        )
        entry = control.sessions.get(holder)
        if entry is None:
            raise _refusal(Reason.NO_OWNER, "nobody owns the key now")
        if self._sessions.find(holder) is not None:
            raise _refusal(
                Reason.ACTIVATING, "the key is being taken over; try again"
            )
        raise Refusal(
            Verdict.NOT_RUN,
            Reason.NOT_OWNER,
            f"the key belongs to {entry.name}",
            owner=entry.peer_address,
        )


def _refusal(reason: Reason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail)
