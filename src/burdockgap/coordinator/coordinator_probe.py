"""What other daemons say about the coordinator."""

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

_ASKED = 3
_DIRECT_TIMEOUT_S = 0.5
_INDIRECT_TIMEOUT_S = 1.0
_FIRST_ISOLATED_S = 4.0
_MOST_ISOLATED_S = 60.0


class CoordinatorProbe:
    """
    Keeps a daemon that is cut off from deposing a sound coordinator.

    A daemon that misses the coordinator asks others to try it. It
    claims if more of them miss it too than reach it. A daemon that
    reaches no other one may be the one that is cut off: it claims after
    a longer time, which doubles each time that it does.

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
        "_patience_s",
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
        self._patience_s = _FIRST_ISOLATED_S

    async def answer(self, msg: Heard) -> Done:
        """Answer another daemon's question."""
        control = self._folds.control
        if control.term != msg.term:
            return Done(taken=control.term > msg.term)
        if self._local.is_elected():
            return Done(taken=self._local.is_able())
        if not msg.indirect or control.coordinator is None:
            return Done(taken=False)
        reached = await self._ask(
            control.coordinator.peer_address,
            Heard(term=msg.term, indirect=False),
            _DIRECT_TIMEOUT_S,
        )
        return Done(taken=bool(reached))

    async def confirms_loss(self) -> bool:
        """Tell whether this daemon should claim."""
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
            return self._waited_isolated()
        self._isolated_since = None
        self._patience_s = _FIRST_ISOLATED_S
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
        return self._rng.sample(sorted(others), min(_ASKED, len(others)))

    def _waited_isolated(self) -> bool:
        now = self._clock.now()
        if self._isolated_since is None:
            self._isolated_since = now
        if now - self._isolated_since < self._patience_s:
            return False
        self._isolated_since = None
        self._patience_s = min(2 * self._patience_s, _MOST_ISOLATED_S)
        return True

    async def _ask(
        self, address: str, msg: Heard, timeout_s: float
    ) -> bool | None:
        """Return a daemon's answer, ``None`` if there is none."""
        try:
            reply = await self._pool.call(address, HEARD, msg, timeout_s)
        except PEER_ERRORS:
            return None
        return cast("Done", reply).taken
