"""When a daemon claims to be coordinator."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.records.claim import Claim
from burdockgap.records.streams import CONTROL
from burdockgap.wire.ids import new_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.clock import Clock
    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.fold.folds import Folds
    from burdockgap.lease.certificates import Certificates
    from burdockgap.lease.witness import Witness
    from burdockgap.logstore.writer import Writer
    from burdockgap.records.session_entry import SessionEntry

_RANK_STAGGER_S = 0.2
_RANDOM_STAGGER_S = 0.4
_PATIENCE_S = 2.0
_APPEND_TIMEOUT_S = 3.0


class Candidacy:
    """
    Claims the next term when the coordinator is gone or idle.

    - The successors of the coordinator's session hold the proof of its
      end and claim first, in the order in which the session names them.
    - A witness that saw any session expire claims if the session has
      not been recorded as ended after some time, whether because the
      coordinator is dead or because it cannot write.
    - A daemon that the coordinator does not answer claims.

    Without a proof of the coordinator's end other daemons are asked
    first.

    The log's order decides between several claims.

    :param incarnation: id of this process run.
    :param name: this daemon's name.
    :param peer_address: this daemon's ``ip:port`` for peer calls.
    :param folds: the known assignment.
    :param certificates: proofs that sessions have ended.
    :param witness: sees sessions expire.
    :param writer: appends the claim.
    :param clock: source of time.
    :param confirm: asks others whether they miss the coordinator too.
    """

    __slots__ = (
        "_certificates",
        "_confirm",
        "_clock",
        "_expired",
        "_folds",
        "_had_session",
        "_incarnation",
        "_name",
        "_peer_address",
        "_proved_term",
        "_rng",
        "_wanted",
        "_writer",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        name: str,
        peer_address: str,
        folds: Folds,
        certificates: Certificates,
        witness: Witness,
        writer: Writer,
        clock: Clock,
        confirm: Callable[[], Awaitable[bool]],
    ) -> None:
        self._incarnation = incarnation
        self._name = name
        self._peer_address = peer_address
        self._folds = folds
        self._writer = writer
        self._clock = clock
        self._rng = random.Random(incarnation)
        self._wanted = anyio.Event()
        self._certificates = certificates
        self._confirm = confirm
        self._proved_term = -1
        self._had_session = 0
        self._expired: dict[int, float] = {}
        certificates.listen(self._certified)
        witness.listen(self._session_expired)
        folds.listen(self._touched)

    def coordinator_silent(self) -> None:
        """Note that the coordinator did not answer."""
        self._wanted.set()

    def overdue(self) -> bool:
        """Tell whether an expired session is not recorded as ended."""
        limit = self._clock.now() - _PATIENCE_S
        return any(expired_at < limit for expired_at in self._expired.values())

    async def run(self) -> None:
        """Claim whenever a coordinator is wanted, for ever."""
        while True:
            with anyio.move_on_after(_PATIENCE_S):
                await self._wanted.wait()
            if not self._wanted.is_set() and not self.overdue():
                continue
            # What is wanted from now on counts for the next turn.
            self._wanted = anyio.Event()
            proved = self._proved_term == self._folds.control.term
            if proved or await self._confirm():
                await self._claim_after(self._stagger_s())

    def _session_expired(self, session_id: int) -> None:
        self._expired[session_id] = self._clock.now()

    def _certified(self, session_id: int) -> None:
        entry = self._folds.control.sessions.get(session_id)
        claim = self._folds.control.coordinator
        if entry is None or claim is None:
            return
        if entry.incarnation == claim.incarnation and not self._sound():
            self._want()

    def _touched(self, touched: ControlEffect) -> None:
        """Note when the coordinator's last session has ended."""
        self._forget_ended(touched)
        claim = self._folds.control.coordinator
        if claim is None or claim.incarnation == self._incarnation:
            return
        if self._coordinator_sessions():
            self._had_session = claim.incarnation
        elif self._had_session == claim.incarnation:
            self._had_session = 0
            self._want()

    def _want(self) -> None:
        self._proved_term = self._folds.control.term
        self._wanted.set()

    def _forget_ended(self, touched: ControlEffect) -> None:
        gone = (
            list(self._expired) if touched.replaces_state else touched.sessions
        )
        for session_id in gone:
            if not self._folds.control.is_live(session_id):
                self._expired.pop(session_id, None)

    def _coordinator_sessions(self) -> list[SessionEntry]:
        claim = self._folds.control.coordinator
        if claim is None:
            return []
        return [
            entry
            for entry in self._folds.control.sessions.values()
            if entry.incarnation == claim.incarnation
        ]

    def _sound(self) -> bool:
        """Tell whether the coordinator has a session without proof."""
        return any(
            not self._certificates.is_complete(entry.session_id)
            for entry in self._coordinator_sessions()
        )

    def _stagger_s(self) -> float:
        rank = self._rank()
        if rank is not None:
            return rank * _RANK_STAGGER_S
        return _RANK_STAGGER_S + self._rng.random() * _RANDOM_STAGGER_S

    def _rank(self) -> int | None:
        """Return this daemon's place among the session's successors."""
        sessions = self._folds.control.sessions
        for entry in self._coordinator_sessions():
            for rank, successor in enumerate(entry.successors):
                heir = sessions.get(successor)
                if heir and heir.incarnation == self._incarnation:
                    return rank
        return None

    async def _claim_after(self, stagger_s: float) -> None:
        term = self._folds.control.term
        await anyio.sleep(stagger_s)
        if self._folds.control.term != term:
            return
        claim = Claim(
            record_id=new_id(),
            term=term + 1,
            incarnation=self._incarnation,
            name=self._name,
            peer_address=self._peer_address,
            at=self._clock.wall(),
        )
        logger.info("claiming term {}", claim.term)
        await self._writer.append_once(CONTROL, claim, _APPEND_TIMEOUT_S)
        # The new coordinator gets as much time as the one before.
        now = self._clock.now()
        self._expired = dict.fromkeys(self._expired, now)
