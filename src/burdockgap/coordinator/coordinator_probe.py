"""Indirect probes of the coordinator through other daemons."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, cast

import anyio

from burdockgap.peer.messages.done import Done
from burdockgap.peer.messages.heard import Heard
from burdockgap.peer.method import HEARD
from burdockgap.peer.pool import PEER_ERRORS

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.coordinator.coordinator import Coordinator
    from burdockgap.fold.folds import Folds
    from burdockgap.peer.pool import PeerPool

_PEERS_ASKED = 3
_DIRECT_TIMEOUT_S = 0.5
_INDIRECT_TIMEOUT_S = 1.0
_ISOLATION_BACKOFF_MIN_S = 4.0
_ISOLATION_BACKOFF_MAX_S = 60.0


class CoordinatorProbe:
    """
    Keeps a partitioned daemon from replacing a healthy coordinator.

    A daemon that gets no answer from the coordinator asks other daemons
    to probe it. It claims the next term if more of them fail to reach
    the coordinator than reach it. A daemon that reaches no other one
    may itself be partitioned: it claims only after a backoff that
    doubles with each claim.

    :param incarnation: id of this process run.
    :param folds: the known assignment.
    :param pool: connections to peers.
    :param local: this daemon's own coordinator role.
    :param clock: source of elapsed time.
    """

    __slots__ = (
        "_clock",
        "_folds",
        "_incarnation",
        "_isolated_since",
        "_local",
        "_isolation_backoff_s",
        "_pool",
        "_rng",
    )

    def __init__(
        self,
        *,
        incarnation: int,
        folds: Folds,
        pool: PeerPool,
        local: Coordinator,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._folds = folds
        self._pool = pool
        self._local = local
        self._clock = clock
        self._rng = random.Random(incarnation)
        self._isolated_since: float | None = None
        self._isolation_backoff_s = _ISOLATION_BACKOFF_MIN_S

    async def answer(self, msg: Heard) -> Done:
        """
        Answer another daemon's question about the coordinator.

        :return: with ``taken`` set if this daemon knows a newer term or
            finds that the coordinator works.
        """
        control = self._folds.control
        if control.term != msg.term:
            return Done(taken=control.term > msg.term)
        if self._local.is_elected():
            return Done(taken=self._local.can_append())
        if not msg.indirect or control.coordinator is None:
            return Done(taken=False)
        reached = await self._ask(
            control.coordinator.peer_address,
            Heard(term=msg.term, indirect=False),
            _DIRECT_TIMEOUT_S,
        )
        return Done(taken=bool(reached))

    async def confirms_loss(self) -> bool:
        """Tell whether this daemon should claim the next term."""
        peers = self._peers()
        if not peers:
            return True
        msg = Heard(term=self._folds.control.term, indirect=True)
        answers: list[bool | None] = []

        async def ask(address: str) -> None:
            answers.append(await self._ask(address, msg, _INDIRECT_TIMEOUT_S))

        async with anyio.create_task_group() as tasks:
            for address in peers:
                tasks.start_soon(ask, address)
        if all(answer is None for answer in answers):
            return self._isolation_backoff_elapsed()
        self._isolated_since = None
        self._isolation_backoff_s = _ISOLATION_BACKOFF_MIN_S
        return answers.count(False) > answers.count(True)

    def _peers(self) -> list[str]:
        control = self._folds.control
        claim = control.coordinator
        excluded = {self._incarnation}
        if claim is not None:
            excluded.add(claim.incarnation)
        others = {
            entry.peer_address
            for entry in control.sessions.values()
            if entry.incarnation not in excluded
        }
        return self._rng.sample(sorted(others), min(_PEERS_ASKED, len(others)))

    def _isolation_backoff_elapsed(self) -> bool:
        now = self._clock.now()
        if self._isolated_since is None:
            self._isolated_since = now
        if now - self._isolated_since < self._isolation_backoff_s:
            return False
        self._isolated_since = None
        self._isolation_backoff_s = min(
            2 * self._isolation_backoff_s, _ISOLATION_BACKOFF_MAX_S
        )
        return True

    async def _ask(
        self, address: str, msg: Heard, timeout_s: float
    ) -> bool | None:
        """Return the answer of a daemon, ``None`` if the call fails."""
        try:
            reply = await self._pool.call(address, HEARD, msg, timeout_s)
        except PEER_ERRORS:
            return None
        return cast("Done", reply).taken
