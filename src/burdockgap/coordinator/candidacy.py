"""Candidacy of a daemon in the coordinator election."""

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

_RANK_DELAY_S = 0.2
_JITTER_MAX_S = 0.4
_END_RECORD_TIMEOUT_S = 2.0
_APPEND_TIMEOUT_S = 3.0


class Candidacy:
    """
    Claims the next term when the coordinator has failed or is stalled.

    - The successors of the coordinator's session hold the proof that it
      has ended. They claim first, in the order in which the session
      names them.
    - A witness that saw any session expire claims if the end of the
      session is not recorded within a timeout, either because the
      coordinator has failed or because it cannot append to the log.
    - A daemon whose calls the coordinator does not answer claims.

    Unless it has proof that the coordinator's session has ended, the
    daemon first asks other daemons to confirm the loss.

    If several daemons claim, the order of the log decides.

    :param incarnation: id of this process run.
    :param name: this daemon's name.
    :param peer_address: this daemon's ``ip:port`` for peer calls.
    :param folds: the known assignment.
    :param certificates: proofs that sessions have ended.
    :param witness: reports sessions whose lease has expired.
    :param writer: appends the claim.
    :param clock: source of time.
    :param confirm: asks other daemons whether they have lost the
        coordinator as well.
    """

    __slots__ = (
        "_certificates",
        "_confirm",
        "_clock",
        "_expired_at",
        "_folds",
        "_incarnation_with_session",
        "_incarnation",
        "_name",
        "_peer_address",
        "_proved_term",
        "_rng",
        "_claim_requested",
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
        self._claim_requested = anyio.Event()
        self._certificates = certificates
        self._confirm = confirm
        self._proved_term = -1
        self._incarnation_with_session = 0
        self._expired_at: dict[int, float] = {}
        certificates.listen(self._on_certificate)
        witness.listen(self._on_session_expired)
        folds.listen(self._on_control_change)

    def coordinator_silent(self) -> None:
        """Request a claim because the coordinator did not answer."""
        self._claim_requested.set()

    def overdue(self) -> bool:
        """Tell whether the record of a session's end is overdue."""
        limit = self._clock.now() - _END_RECORD_TIMEOUT_S
        return any(
            expired_at < limit for expired_at in self._expired_at.values()
        )

    async def run(self) -> None:
        """Claim a term whenever it is needed, until cancelled."""
        while True:
            with anyio.move_on_after(_END_RECORD_TIMEOUT_S):
                await self._claim_requested.wait()
            if not self._claim_requested.is_set() and not self.overdue():
                continue
            # Requests made after this line are handled in the next
            # iteration.
            self._claim_requested = anyio.Event()
            proved = self._proved_term == self._folds.control.term
            if proved or await self._confirm():
                await self._claim_after(self._claim_delay_s())

    def _on_session_expired(self, session_id: int) -> None:
        self._expired_at[session_id] = self._clock.now()

    def _on_certificate(self, session_id: int) -> None:
        entry = self._folds.control.sessions.get(session_id)
        claim = self._folds.control.coordinator
        if entry is None or claim is None:
            return
        if (
            entry.incarnation == claim.incarnation
            and not self._has_uncertified_session()
        ):
            self._request_claim()

    def _on_control_change(self, change: ControlEffect) -> None:
        """Request a claim once the coordinator's last session ended."""
        self._remove_ended(change)
        claim = self._folds.control.coordinator
        if claim is None or claim.incarnation == self._incarnation:
            return
        if self._coordinator_sessions():
            self._incarnation_with_session = claim.incarnation
        elif self._incarnation_with_session == claim.incarnation:
            self._incarnation_with_session = 0
            self._request_claim()

    def _request_claim(self) -> None:
        self._proved_term = self._folds.control.term
        self._claim_requested.set()

    def _remove_ended(self, change: ControlEffect) -> None:
        changed_ids = (
            list(self._expired_at)
            if change.replaces_state
            else change.sessions
        )
        for session_id in changed_ids:
            if not self._folds.control.is_live(session_id):
                self._expired_at.pop(session_id, None)

    def _coordinator_sessions(self) -> list[SessionEntry]:
        claim = self._folds.control.coordinator
        if claim is None:
            return []
        return [
            entry
            for entry in self._folds.control.sessions.values()
            if entry.incarnation == claim.incarnation
        ]

    def _has_uncertified_session(self) -> bool:
        """Tell whether a coordinator session has no certificate."""
        return any(
            not self._certificates.is_complete(entry.session_id)
            for entry in self._coordinator_sessions()
        )

    def _claim_delay_s(self) -> float:
        rank = self._rank()
        if rank is not None:
            return rank * _RANK_DELAY_S
        return _RANK_DELAY_S + self._rng.random() * _JITTER_MAX_S

    def _rank(self) -> int | None:
        """Return this daemon's index among the successors."""
        sessions = self._folds.control.sessions
        for entry in self._coordinator_sessions():
            for rank, successor_id in enumerate(entry.successors):
                successor = sessions.get(successor_id)
                if successor and successor.incarnation == self._incarnation:
                    return rank
        return None

    async def _claim_after(self, delay_s: float) -> None:
        term = self._folds.control.term
        await anyio.sleep(delay_s)
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
        # Gives the next coordinator the full timeout to record the ends
        # of these sessions.
        now = self._clock.now()
        self._expired_at = dict.fromkeys(self._expired_at, now)
