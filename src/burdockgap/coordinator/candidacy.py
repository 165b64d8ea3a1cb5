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
    from burdockgap.clock import Clock
    from burdockgap.fold.folds import Folds
    from burdockgap.fold.touched import Touched
    from burdockgap.lease.certificates import Certificates
    from burdockgap.platform.writer import Writer

_RANK_STAGGER_S = 0.2
_RANDOM_STAGGER_S = 0.4
_APPEND_TIMEOUT_S = 3.0


class Candidacy:
    """
    Claims the next term when the coordinator is gone or silent.

    The successors of the coordinator's session hear of its expiry and
    claim first, in the order in which the session names them. Any other
    daemon claims after a random pause. The log's order decides between
    several claims.

    :param incarnation: id of this process run.
    :param name: this daemon's name.
    :param peer_address: this daemon's ``ip:port`` for peer calls.
    :param folds: the known assignment.
    :param certificates: proofs that sessions have ended.
    :param writer: appends the claim.
    :param clock: source of time.
    """

    __slots__ = (
        "_certificates",
        "_clock",
        "_coordinated_by",
        "_folds",
        "_incarnation",
        "_name",
        "_peer_address",
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
        writer: Writer,
        clock: Clock,
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
        self._coordinated_by: set[int] = set()
        certificates.listen(self._certified)
        folds.listen(self._touched)

    def coordinator_silent(self) -> None:
        """Note that the coordinator did not answer."""
        self._wanted.set()

    def _certified(self, session_id: int) -> None:
        if session_id in self._coordinated_by and not self._sound_sessions():
            self._wanted.set()

    def _touched(self, _touched: Touched) -> None:
        before = self._coordinated_by
        self._coordinated_by = self._coordinator_sessions()
        if before and not self._coordinated_by:
            self._wanted.set()

    def _coordinator_sessions(self) -> set[int]:
        claim = self._folds.control.coordinator
        if claim is None or claim.incarnation == self._incarnation:
            return set()
        return {
            session_id
            for session_id, entry in self._folds.control.sessions.items()
            if entry.incarnation == claim.incarnation
        }

    def _sound_sessions(self) -> set[int]:
        return {
            session_id
            for session_id in self._coordinated_by
            if not self._certificates.is_complete(session_id)
        }

    async def run(self) -> None:
        """Claim whenever a coordinator is wanted, for ever."""
        while True:
            await self._wanted.wait()
            await self._claim_after(self._stagger_s())
            self._wanted = anyio.Event()

    def _stagger_s(self) -> float:
        rank = self._rank()
        if rank is not None:
            return rank * _RANK_STAGGER_S
        return _RANK_STAGGER_S + self._rng.random() * _RANDOM_STAGGER_S

    def _rank(self) -> int | None:
        claim = self._folds.control.coordinator
        if claim is None:
            return None
        for entry in self._folds.control.sessions.values():
            if entry.incarnation != claim.incarnation:
                continue
            for rank, successor in enumerate(entry.successors):
                heir = self._folds.control.sessions.get(successor)
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
