"""Handlers for the calls of other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.forward.call import Call
from burdockgap.forward.outcome import Outcome
from burdockgap.hop.call_kinds import (
    FORWARD,
    GET_CONTROL_STATE,
    GET_DOCUMENTS,
    GET_OUTCOME,
    RELEASE,
)
from burdockgap.hop.transit_clock import TransitClock
from burdockgap.verdict import Reason, Verdict
from burdockgap.wire.compression import compress

if TYPE_CHECKING:
    from burdockgap.sidecar.node import Node


_RETRY_AFTER_S = 0.5
"""After a refusal for lack of memory, which is freed as calls end."""


class PeerCallHandlers:
    """
    Handles each kind of call.

    :param node: the components of this daemon.
    """

    __slots__ = ("_node", "_transit_clock")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._transit_clock = TransitClock()

    def handlers(self) -> dict[int, Any]:
        """Return the handlers by kind of call."""
        return {
            FORWARD: self._forward,
            GET_CONTROL_STATE: self._control_state,
            RELEASE: self._release,
            GET_DOCUMENTS: self._documents,
            GET_OUTCOME: self._outcome,
        }

    def refusals(self) -> dict[int, Any]:
        """Return the replies to calls that do not fit, by kind."""
        return {FORWARD: self._refuse}

    def _refuse(self) -> Any:
        outcome = Outcome(
            Verdict.NOT_RUN,
            reason=Reason.OVERLOADED,
            retry_after_s=_RETRY_AFTER_S,
            load=self._node.gate.load,
        )
        return outcome.encode()

    def link_refusals(self) -> dict[int, Any]:
        """Return the replies to calls that wait too long, by kind."""
        return {FORWARD: self._refuse_for_link}

    def _refuse_for_link(self, backlog_s: float) -> Any:
        self._node.metrics.outcomes.labels(
            Verdict.NOT_RUN.value, Reason.LINK_FULL.value
        ).inc()
        outcome = Outcome(
            Verdict.NOT_RUN,
            reason=Reason.LINK_FULL,
            retry_after_s=backlog_s,
            load=self._node.gate.load,
        )
        return outcome.encode()

    async def _forward(self, payload: Any) -> Any:
        call = Call.decode(payload)
        charge = self._node.buffers.charge("calls")
        if not charge.grow(len(call.body)):
            return self._refuse()
        try:
            return await self._run(call)
        finally:
            charge.release()

    async def _run(self, call: Call) -> Any:
        call.shorten(
            self._transit_clock.delay_s(
                call.sender, call.sent_at, self._node.clock.now()
            )
        )
        return (await self._node.gate.serve(call)).encode()

    async def _outcome(self, payload: Any) -> Any:
        incarnation, request_id, attempt = payload
        if incarnation != self._node.roster.own.incarnation:
            return None
        return (await self._node.gate.settle(request_id, attempt)).encode()

    async def _control_state(self, _payload: Any) -> bytes:
        return compress(self._node.view.state.encode())

    async def _documents(self, _payload: Any) -> Any:
        documents = self._node.documents
        return [documents.stored, list(documents.position)]

    async def _release(self, payload: Any) -> Any:
        service, first, last, fence = payload
        holder = self._node.holder
        if holder is None or service != self._node.cfg.service:
            return None
        return await holder.release_range(first, last, fence)
