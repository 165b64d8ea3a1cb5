"""Sends one attempt to the gate of a chosen daemon."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from burdockgap.gate.gate_request import GateRequest
from burdockgap.peer.forward import forward
from burdockgap.router.route_reply import RouteReply
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.gate.gate import Gate
    from burdockgap.peer.pool import PeerPool
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.route_request import RouteRequest
    from burdockgap.router.server_stats import ServerStats

_UNREACHABLE_REASONS = frozenset(
    {Reason.UNREACHABLE, Reason.TARGET_DOWN, Reason.CONNECTION_LOST}
)
"""Refusal reasons that mean that the server is unreachable."""


class Dispatcher:
    """
    Sends attempts to this daemon's own gate or to that of a peer.

    :param incarnation: id of this process run.
    :param pool: connections to peers.
    :param clock: source of elapsed time.
    :ivar gate: this daemon's gate, ``None`` while it has no target.
    """

    __slots__ = ("_clock", "_pool", "gate", "incarnation")

    def __init__(
        self,
        *,
        incarnation: int,
        pool: PeerPool,
        clock: Clock,
    ) -> None:
        self.incarnation = incarnation
        self.gate: Gate | None = None
        self._pool = pool
        self._clock = clock

    @asynccontextmanager
    async def send(
        self,
        entry: SessionEntry,
        req: RouteRequest,
        stats: ServerStats,
        deadline: float,
    ) -> AsyncIterator[RouteReply]:
        """
        Send one attempt.

        :param entry: session of the daemon to send it to.
        :param stats: receives the load and latency of the attempt.
        :param deadline: clock time at which the attempt times out.
        :raises Refusal: if the attempt gets no answer.
        """
        gate_req = GateRequest(
            request_id=req.request_id,
            service=req.service,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body.parts(),
            key_hash=req.key_hash,
            idempotent=req.idempotent,
            deadline=deadline,
            fingerprint=req.fingerprint,
            whole=req.body.content(),
        )
        token = stats.begin()
        try:
            async with self._attempt(entry, gate_req, stats) as reply:
                stats.record_answer(token)
                yield reply
        except Refusal as refusal:
            if refusal.reason in _UNREACHABLE_REASONS:
                stats.record_unreachable()
            raise
        finally:
            stats.end(token)

    @asynccontextmanager
    async def _attempt(
        self, entry: SessionEntry, req: GateRequest, stats: ServerStats
    ) -> AsyncIterator[RouteReply]:
        if entry.incarnation == self.incarnation:
            async with self._local(entry, req, stats) as reply:
                yield reply
            return
        remaining_s = max(req.deadline - self._clock.now(), 0.0)
        async with forward(
            self._pool, entry, req, remaining_s, stats
        ) as reply:
            yield reply

    @asynccontextmanager
    async def _local(
        self, entry: SessionEntry, req: GateRequest, stats: ServerStats
    ) -> AsyncIterator[RouteReply]:
        if self.gate is None:
            raise Refusal(
                Verdict.NOT_RUN, Reason.TARGET_DOWN, "no target is announced"
            )
        async with self.gate.serve(req) as answer:
            stats.record_load(
                in_flight=self.gate.stats.demand,
                limit=self.gate.stats.limit,
            )
            yield RouteReply(
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                owner=entry.name,
                owner_address=entry.http_address,
            )
