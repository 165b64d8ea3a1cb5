"""The witness role: timing other daemons' leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.lease.counters import EXPIRED_SESSIONS, IGNORED
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.timed_session import TimedSession
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.lease.fold_view import FoldView
    from burdockgap.lease.messages.renew import Renew
    from burdockgap.lease.sender import Sender
    from burdockgap.lease.timing import LeaseTiming
    from burdockgap.records.session_entry import SessionEntry

_MIN_WAIT_S = 0.05


class Witness:
    """
    Times the sessions that name this daemon as a witness.

    A session may name an earlier incarnation of this daemon. It is then
    timed from the start of this one and never acknowledged.

    Only sessions that are live in this daemon's own fold are
    acknowledged. Therefore no state is kept about ended sessions: a
    renewal of an ended session can't be taken for one of a new session.

    :param incarnation: id of this process run.
    :param address: this daemon's ``ip:port`` as sessions name it.
    :param clock: the source of elapsed time.
    :param timing: the durations of the lease protocol.
    :param folds: the folded state, which contains the live sessions.
    """

    __slots__ = (
        "_callbacks",
        "_clock",
        "_folds",
        "_joined",
        "_started_at",
        "_timed",
        "_timing",
        "address",
        "incarnation",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        address: str,
        clock: Clock,
        timing: LeaseTiming,
        folds: FoldView,
    ) -> None:
        self.incarnation = incarnation
        self.address = address
        self._clock = clock
        self._timing = timing
        self._folds = folds
        self._started_at = clock.now()
        self._callbacks: list[Callable[[int], None]] = []
        self._joined = False
        self._timed: dict[int, TimedSession] = {}
        for entry in folds.control.sessions.values():
            self._on_admitted(entry)
        folds.listen(self.on_touched)

    def listen(self, callback: Callable[[int], None]) -> None:
        """Register a callback for the ids of sessions that expire."""
        self._callbacks.append(callback)

    def on_touched(self, touched: ControlEffect) -> None:
        """Update for the sessions that a record admitted or ended."""
        if touched.replaces_state:
            self.resync()
            return
        for session_id in touched.sessions:
            entry = self._folds.control.sessions.get(session_id)
            if entry is None:
                self._timed.pop(session_id, None)
            else:
                self._on_admitted(entry)
        self._joined = self._joined or self._includes_own_session(
            touched.sessions
        )

    def _includes_own_session(self, session_ids: list[int]) -> bool:
        sessions = self._folds.control.sessions
        return any(
            sessions[session_id].incarnation == self.incarnation
            for session_id in session_ids
            if session_id in sessions
        )

    def resync(self) -> None:
        """Update all sessions after a snapshot replaced the fold."""
        live = self._folds.control.sessions
        for session_id in set(self._timed) - set(live):
            del self._timed[session_id]
        for entry in live.values():
            self._on_admitted(entry)
        self._joined = self._joined or self._includes_own_session(list(live))

    def _on_admitted(self, entry: SessionEntry) -> None:
        if entry.session_id in self._timed:
            return
        timed = self._time_session(entry)
        if timed is not None:
            self._timed[entry.session_id] = timed

    def _time_session(self, entry: SessionEntry) -> TimedSession | None:
        incarnations = [witness.incarnation for witness in entry.witnesses]
        if self.incarnation in incarnations:
            return TimedSession(
                session_id=entry.session_id,
                incarnation=self.incarnation,
                expires_at=self._clock.now() + self._timing.expiry_s,
                renewable=True,
            )
        if self._joined:
            # Sessions admitted after this incarnation joined don't name
            # an earlier one.
            return None
        for witness in entry.witnesses:
            if witness.address == self.address:
                return self._time_earlier(entry, witness.incarnation)
        return None

    def _time_earlier(
        self, entry: SessionEntry, incarnation: int
    ) -> TimedSession:
        return TimedSession(
            session_id=entry.session_id,
            incarnation=incarnation,
            expires_at=self._started_at + self._timing.expiry_s,
            renewable=False,
        )

    def holder_address(self, session_id: int) -> str:
        """Return a live session's ``ip:port``, "" if it is unknown."""
        entry = self._folds.control.sessions.get(session_id)
        return entry.peer_address if entry else ""

    def on_renew(self, renew: Renew) -> Ack | None:
        """
        Apply a renewal.

        :return: the acknowledgement, or ``None`` if it is ignored.
        """
        if renew.witness_incarnation != self.incarnation:
            IGNORED.labels("renew-witness").inc()
            return None
        timed = self._timed.get(renew.session_id)
        if timed is None:
            IGNORED.labels("renew-session").inc()
            return None
        now = self._clock.now()
        self._expire(timed, now)
        if not timed.renew(renew.seq, now + self._timing.expiry_s):
            IGNORED.labels("renew-late").inc()
            return None
        return Ack(
            session_id=renew.session_id,
            witness_incarnation=self.incarnation,
            seq=renew.seq,
            config_offset=self._folds.offset(CONFIG),
            control_offset=self._folds.offset(CONTROL),
        )

    def _expire(self, timed: TimedSession, now: float) -> None:
        if not timed.expire(now):
            return
        EXPIRED_SESSIONS.inc()
        logger.info("session {} expired", show_id(timed.session_id))
        for callback in self._callbacks:
            callback(timed.session_id)

    def due_promises(self) -> list[Promise]:
        """Return the due promises and record them as pushed."""
        now = self._clock.now()
        due = []
        for timed in list(self._timed.values()):
            self._expire(timed, now)
            if not timed.promised or now < timed.next_push_at:
                continue
            timed.record_push(now)
            due.append(self._make_promise(timed))
        return due

    def _make_promise(self, timed: TimedSession) -> Promise:
        return Promise(
            session_id=timed.session_id,
            witness_incarnation=timed.incarnation,
        )

    def promise_receivers(self, session_id: int) -> list[str]:
        """Return the addresses to which a session's expiry is sent."""
        control = self._folds.control
        entry = control.sessions.get(session_id)
        if entry is None:
            return []
        successors = [
            control.sessions[successor].peer_address
            for successor in entry.successors
            if control.is_live(successor)
        ]
        if control.coordinator is not None:
            successors.append(control.coordinator.peer_address)
        return list(dict.fromkeys(successors))

    async def run(self, sender: Sender) -> None:
        """Push due promises until cancelled."""
        while True:
            for promise in self.due_promises():
                for address in self.promise_receivers(promise.session_id):
                    sender.send(promise, address)
            await anyio.sleep(self._next_wait_s())

    def _next_wait_s(self) -> float:
        due = [timed.due_at() for timed in self._timed.values()]
        wait_s = min(due, default=0.0) - self._clock.now()
        return min(max(wait_s, _MIN_WAIT_S), self._timing.renew_s)
