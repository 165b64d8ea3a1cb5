"""Answers to the calls of other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.forward.call import Call
from burdockgap.hop.kinds import DOCUMENTS, FORWARD, RELEASE, SETTLE, TABLE

if TYPE_CHECKING:
    from burdockgap.sidecar.node import Node


class PeerAnswers:
    """
    Answers each kind of call.

    :param node: the daemon's parts.
    """

    __slots__ = ("_node",)

    def __init__(self, node: Node) -> None:
        self._node = node

    def handlers(self) -> dict[int, Any]:
        """Return the answers by kind of call."""
        return {
            FORWARD: self._forward,
            TABLE: self._table,
            RELEASE: self._release,
            DOCUMENTS: self._documents,
            SETTLE: self._settle,
        }

    async def _forward(self, payload: Any) -> Any:
        call = Call.decode(payload)
        return (await self._node.gate.serve(call)).encode()

    async def _settle(self, payload: Any) -> Any:
        incarnation, request_id = payload
        if incarnation != self._node.roster.own.incarnation:
            return None
        return (await self._node.gate.settle(request_id)).encode()

    async def _table(self, _payload: Any) -> bytes:
        return self._node.view.state.encode()

    async def _documents(self, _payload: Any) -> Any:
        documents = self._node.documents
        return [documents.raw, documents.end]

    async def _release(self, payload: Any) -> Any:
        service, first, last, fence = payload
        holder = self._node.holder
        if holder is None or service != self._node.cfg.service:
            return None
        return await holder.release_range(first, last, fence)
