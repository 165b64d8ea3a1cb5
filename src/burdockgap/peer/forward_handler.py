"""The receiving side of forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from burdockgap.gate.gate_request import GateRequest
from burdockgap.peer.cancel_count import restored_cancel_count
from burdockgap.peer.messages.body_part import BodyPart
from burdockgap.peer.messages.forward_head import ForwardHead
from burdockgap.peer.messages.reply_head import ReplyHead
from burdockgap.peer.messages.reply_refusal import ReplyRefusal
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.gate.gate import Gate
    from burdockgap.target import TargetReply
    from burdockgap.wire import Message


_SEND_TIMEOUT_S = 30.0


class ForwardHandler:
    """
    Passes forwarded requests to this daemon's gate.

    :param name: this daemon's name.
    :param clock: source of elapsed time.
    :param send_timeout_s: seconds in which the peer must accept each
        part of a reply.
    :ivar gate: the gate, ``None`` while no target is announced.
    :ivar in_flight: number of requests whose replies are not sent yet.
    """

    __slots__ = ("_clock", "_name", "_send_timeout_s", "gate", "in_flight")

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        send_timeout_s: float = _SEND_TIMEOUT_S,
    ) -> None:
        self._name = name
        self._clock = clock
        self._send_timeout_s = send_timeout_s
        self.gate: Gate | None = None
        self.in_flight = 0

    async def serve(self, stream: Any, head: ForwardHead) -> None:
        """
        Serve one forwarded request.

        :param stream: the gRPC stream, which carries the request's body
            and then the reply.
        :param head: the request's head.
        :raises GRPCError: if another message came in its place, the
            reply broke off, or the peer stopped reading it.
        """
        if not isinstance(head, ForwardHead):
            raise GRPCError(Status.INVALID_ARGUMENT, "the head comes first")
        self.in_flight += 1
        try:
            await self._serve(stream, head)
        finally:
            self.in_flight -= 1

    async def _serve(self, stream: Any, head: ForwardHead) -> None:
        if self.gate is None:
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.TARGET_DOWN, "no target is announced"
            )
            await self._send(stream, self._refusal(refusal))
            return
        answered = False
        try:
            async with self.gate.serve(self._request(stream, head)) as answer:
                answered = True
                await self._send(stream, self._head(self.gate, answer))
                async for data in answer.body:
                    await self._send(stream, BodyPart(data=data))
        except Refusal as refusal:
            if answered:
                raise GRPCError(Status.DATA_LOSS, refusal.detail) from refusal
            await self._send(stream, self._refusal(refusal))

    async def _send(self, stream: Any, msg: Message) -> None:
        """
        Send a message to the peer.

        :raises GRPCError: if the peer does not accept it in time.
        """
        with anyio.move_on_after(self._send_timeout_s) as scope:
            with restored_cancel_count():
                await stream.send_message(msg)
        if scope.cancelled_caught:
            raise GRPCError(Status.CANCELLED, "the peer takes nothing")

    def _head(self, gate: Gate, answer: TargetReply) -> ReplyHead:
        stats = gate.stats
        return ReplyHead(
            status=answer.status,
            headers=[[name, value] for name, value in answer.headers],
            name=self._name,
            in_flight=stats.demand,
            limit=stats.limit,
        )

    def _request(self, stream: Any, head: ForwardHead) -> GateRequest:
        return GateRequest(
            request_id=head.request_id,
            service=head.service,
            method=head.method,
            path=head.path,
            headers=[(name, value) for name, value in head.headers],
            body=_receive_parts(stream)
            if head.whole is None
            else _single_part(head.whole),
            key_hash=head.key_hash,
            idempotent=head.idempotent,
            deadline=self._clock.now() + head.timeout_s,
            fingerprint=head.fingerprint,
            whole=head.whole,
        )

    def _refusal(self, refusal: Refusal) -> ReplyRefusal:
        stats = self.gate.stats if self.gate else None
        return ReplyRefusal(
            verdict=refusal.verdict.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
            owner=refusal.owner,
            in_flight=stats.demand if stats else 0,
            limit=stats.limit if stats else 0,
        )


async def _single_part(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body


async def _receive_parts(stream: Any) -> AsyncIterator[bytes]:
    while True:
        with restored_cancel_count():
            part = await stream.recv_message()
        if part is None:
            return
        yield part.data
