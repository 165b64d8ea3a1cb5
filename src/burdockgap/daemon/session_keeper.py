"""Opening, replacement and release of the daemon's sessions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.daemon.replacement import needs_replacement
from burdockgap.peer.messages.join import Join
from burdockgap.peer.messages.leave import Leave
from burdockgap.wire.ids import new_id, show_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from burdockgap.clock import Clock
    from burdockgap.daemon.coordinator_client import CoordinatorClient
    from burdockgap.daemon.identity import Identity
    from burdockgap.fold.folds import Folds
    from burdockgap.lease.datagram_receivers import DatagramReceivers
    from burdockgap.lease.sender import Sender
    from burdockgap.ownership.grants import Grants
    from burdockgap.ownership.own_session import OwnSession
    from burdockgap.ownership.own_sessions import OwnSessions

_JOIN_INTERVAL_S = 0.4
_JOIN_STALL_TIMEOUT_S = 6.0
_LEAVE_INTERVAL_S = 0.3
_CHECK_INTERVAL_S = 0.5
_REPLACE_DELAY_S = 3.0
_REPLACE_JITTER_S = 3.0
_LAPSE_TOLERANCE_S = 0.5
_FIRST_LEASE_TIMEOUT_S = 3.0
_SESSIONS_KEPT = 3


class SessionKeeper:
    """
    Opens this daemon's sessions, one after another.

    A new session is opened when the current one has ended, its lease
    has lapsed, or it has lost a witness or its successors. The
    coordinator then moves the units of the older session to the newer
    one. The older session is ended only when no other session names it
    as a successor: otherwise each replacement would cause another one.
    No session is opened while the target makes no progress.

    :param identity: name, location and addresses of this daemon.
    :param slots: requests that the target can run at once.
    :param sessions: this daemon's sessions.
    :param folds: the folded state, with all sessions.
    :param client: calls to the coordinator.
    :param grants: keeps the target's grants up to date.
    :param parties: receivers of lease datagrams.
    :param sender: sends lease datagrams.
    :param witnesses: number of witnesses that a session should have.
    :param clock: source of elapsed time.
    :param may_open: tells whether the target makes progress.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_folds",
        "_grants",
        "_identity",
        "_leaving",
        "_may_open",
        "_parties",
        "_sender",
        "_sessions",
        "_slots",
        "_tasks",
        "_witnesses",
    )

    def __init__(
        self,
        *,
        identity: Identity,
        slots: int,
        sessions: OwnSessions,
        folds: Folds,
        client: CoordinatorClient,
        grants: Grants,
        parties: DatagramReceivers,
        sender: Sender,
        witnesses: int,
        clock: Clock,
        may_open: Callable[[], bool],
    ) -> None:
        self._identity = identity
        self._slots = slots
        self._sessions = sessions
        self._folds = folds
        self._client = client
        self._grants = grants
        self._parties = parties
        self._sender = sender
        self._witnesses = witnesses
        self._clock = clock
        self._may_open = may_open
        self._leaving = False
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                if self._leaving or not self._may_open():
                    await anyio.sleep(_CHECK_INTERVAL_S)
                    continue
                older = self._sessions.admitted()
                session = self._open(tasks)
                await self._join(session)
                for replaced in older:
                    tasks.start_soon(self._retire, replaced)
                await self._wait_until_due(session)

    async def move_units_away(self, timeout_s: float) -> bool:
        """
        Ask the coordinator to move all units away and wait for it.

        No new session is opened until :meth:`reopen`.

        :param timeout_s: seconds to wait at most.
        :return: whether the sessions own no units any more.
        """
        self._leaving = True
        with anyio.move_on_after(timeout_s):
            while self._holds_units():
                for session in self._sessions.admitted():
                    await self._leave(session, final=False)
                await anyio.sleep(_LEAVE_INTERVAL_S)
        return not self._holds_units()

    async def leave(self, timeout_s: float) -> bool:
        """
        End all sessions and wait until the log records it.

        Call it only when no work is in flight and no new work is
        accepted.

        :param timeout_s: seconds to wait at most.
        :return: whether the end of all sessions was recorded in time.
        """
        self._leaving = True
        with anyio.move_on_after(timeout_s):
            while sessions := self._sessions.admitted():
                for session in sessions:
                    session.holdings.close()
                    await self._leave(session, final=True)
                await anyio.sleep(_LEAVE_INTERVAL_S)
        return not self._sessions.admitted()

    def reopen(self) -> None:
        """Allow new sessions after :meth:`leave`."""
        self._leaving = False

    def _open(self, tasks: TaskGroup) -> OwnSession:
        session = self._sessions.open(new_id())
        tasks.start_soon(session.run, self._parties, self._sender)
        tasks.start_soon(self._grants.run, session)
        return session

    async def _join(self, session: OwnSession) -> None:
        msg = Join(
            session_id=session.session_id,
            incarnation=self._identity.incarnation,
            name=self._identity.name,
            service=self._sessions.service,
            data_centre=self._identity.data_centre,
            region=self._identity.region,
            peer_address=self._identity.peer_address,
            http_address=self._identity.http_address,
            slots=self._slots,
        )
        waiting_since = anyio.current_time()
        while not session.admitted.is_set():
            await self._client.join(msg)
            if anyio.current_time() - waiting_since > _JOIN_STALL_TIMEOUT_S:
                self._client.report_stalled()
                waiting_since = anyio.current_time()
            with anyio.move_on_after(_JOIN_INTERVAL_S):
                await session.admitted.wait()
        logger.info("session {} is open", show_id(session.session_id))

    async def _wait_until_due(self, session: OwnSession) -> None:
        """Wait until the session has ended or should be replaced."""
        deficient_s = 0.0
        first_due_at = self._clock.now() + _FIRST_LEASE_TIMEOUT_S
        replace_after_s = (
            _REPLACE_DELAY_S + random.random() * _REPLACE_JITTER_S
        )
        while not session.ended.is_set() and deficient_s < replace_after_s:
            with anyio.move_on_after(_CHECK_INTERVAL_S):
                await session.ended.wait()
            deficient_s = (
                deficient_s + _CHECK_INTERVAL_S
                if self._needs_replacement(session)
                else 0
            )
            is_new = self._clock.now() < first_due_at
            if self._has_lapsed(session) and not is_new:
                break
        if not session.ended.is_set():
            logger.info("session {} is replaced", show_id(session.session_id))

    def _has_lapsed(self, session: OwnSession) -> bool:
        """Tell whether the lease ended and is unlikely to recover."""
        if session.lease is None or self._leaving:
            return False
        ended_at = session.lease.expires_at()
        return self._clock.now() - ended_at > _LAPSE_TOLERANCE_S

    def _needs_replacement(self, session: OwnSession) -> bool:
        entry = self._folds.control.sessions.get(session.session_id)
        if entry is None or self._leaving:
            return False
        return needs_replacement(
            self._folds.control, entry, witnesses=self._witnesses
        )

    async def _retire(self, session: OwnSession) -> None:
        """End a replaced session when no unit or successor needs it."""
        while not session.ended.is_set():
            if not self._owns_units(session) and not self._is_needed(session):
                # The fold could still assign it units of an ended
                # session, of which it is a successor.
                session.holdings.close()
                await self._leave(session, final=True)
            with anyio.move_on_after(_LEAVE_INTERVAL_S):
                await session.ended.wait()

    def _is_needed(self, session: OwnSession) -> bool:
        """
        Tell whether a live session relies on it as a successor.

        Only the newest three sessions are kept for that.
        """
        if self._has_lapsed(session):
            return False
        kept = self._sessions.admitted()[-_SESSIONS_KEPT:]
        return session in kept and any(
            session.session_id in entry.successors
            for entry in self._folds.control.sessions.values()
        )

    async def _leave(self, session: OwnSession, *, final: bool) -> None:
        msg = Leave(session_id=session.session_id, final=final)
        await self._client.leave(msg)

    def _holds_units(self) -> bool:
        return any(
            self._owns_units(session) for session in self._sessions.admitted()
        )

    def _owns_units(self, session: OwnSession) -> bool:
        """Tell whether a session owns, holds or is releasing units."""
        if session.holdings.active:
            return True
        table = self._sessions.table()
        return table is not None and bool(table.units_of(session.session_id))
