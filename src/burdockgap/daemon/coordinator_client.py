"""Calls to the current coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from burdockgap.peer.method import ACTIVATION, JOIN, LEAVE, LOAD
from burdockgap.peer.pool import PEER_ERRORS

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.coordinator.candidacy import Candidacy
    from burdockgap.coordinator.coordinator import Coordinator
    from burdockgap.fold.folds import Folds
    from burdockgap.ownership.messages.activation_report import (
        ActivationReport,
    )
    from burdockgap.peer.messages.done import Done
    from burdockgap.peer.messages.join import Join
    from burdockgap.peer.messages.leave import Leave
    from burdockgap.peer.messages.load_report import LoadReport
    from burdockgap.peer.method import Method
    from burdockgap.peer.pool import PeerPool
    from burdockgap.wire import Message

_CALL_TIMEOUT_S = 1.0


class CoordinatorClient:
    """
    Calls the coordinator and detects when it does not respond.

    :param folds: the folded state, which names the coordinator.
    :param pool: connections to peers.
    :param local: this daemon's own coordinator role, which is called
        directly while it is elected.
    :param candidacy: notified when no coordinator is known or calls
        have failed for ``claim_after_s``.
    :param clock: source of elapsed time.
    :param claim_after_s: seconds of failed calls before the candidacy
        is notified.
    """

    __slots__ = (
        "_candidacy",
        "_claim_after_s",
        "_clock",
        "_folds",
        "_local",
        "_pool",
        "_failing_since",
    )

    def __init__(
        self,
        *,
        folds: Folds,
        pool: PeerPool,
        local: Coordinator,
        candidacy: Candidacy,
        clock: Clock,
        claim_after_s: float,
    ) -> None:
        self._folds = folds
        self._pool = pool
        self._local = local
        self._candidacy = candidacy
        self._clock = clock
        self._claim_after_s = claim_after_s
        self._failing_since: float | None = None

    async def join(self, msg: Join) -> bool:
        """Ask for admission; true if the coordinator accepted it."""
        if self._local.is_elected():
            return (await self._local.join(msg)).taken
        return await self._call(JOIN, msg)

    async def leave(self, msg: Leave) -> bool:
        """Ask to give up a session; true if it was accepted."""
        if self._local.is_elected():
            return (await self._local.leave(msg)).taken
        return await self._call(LEAVE, msg)

    async def load(self, msg: LoadReport) -> bool:
        """Report load; true if the coordinator accepted it."""
        if self._local.is_elected():
            return (await self._local.load(msg)).taken
        return await self._call(LOAD, msg)

    async def activation(self, msg: ActivationReport) -> None:
        """
        Report activated units.

        :raises ConnectionError: if the coordinator did not accept it.
        """
        if self._local.is_elected():
            await self._local.activation(msg)
        elif not await self._call(ACTIVATION, msg):
            raise ConnectionError(
                "no coordinator accepted the activation report"
            )

    def report_stalled(self) -> None:
        """Report a coordinator that accepts calls but does not act."""
        if not self._local.is_elected():
            self._candidacy.coordinator_silent()

    async def _call(self, method: Method, msg: Message) -> bool:
        claim = self._folds.control.coordinator
        if claim is None:
            self._candidacy.coordinator_silent()
            return False
        try:
            reply = await self._pool.call(
                claim.peer_address, method, msg, _CALL_TIMEOUT_S
            )
        except PEER_ERRORS:
            self._record_failure()
            return False
        return self._record_reply(cast("Done", reply).taken)

    def _record_reply(self, taken: bool) -> bool:
        if taken:
            self._failing_since = None
        else:
            self._record_failure()
        return taken

    def _record_failure(self) -> None:
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since >= self._claim_after_s:
            self._failing_since = None
            self._candidacy.coordinator_silent()
