"""The gate's side of a forwarded request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from burdockgap.gate.gate_request import GateRequest
from burdockgap.peer.messages.body_part import BodyPart
from burdockgap.peer.messages.forward_head import ForwardHead
from burdockgap.peer.messages.reply_head import ReplyHead
from burdockgap.peer.messages.reply_refusal import ReplyRefusal
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.gate.gate import Gate


class ForwardHandler:
    """
    Hands forwarded requests to this daemon's gate.

    :param name: this daemon's name.
    :param clock: source of elapsed time.
    :ivar gate: the gate, ``None`` while no target is announced.
    """

    __slots__ = ("_clock", "_name", "gate")

    def __init__(self, *, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self.gate: Gate | None = None

    async def serve(self, stream: Any, head: ForwardHead) -> None:
        """
        Serve one forwarded request.

        :param stream: the gRPC stream; carries the body, then the
            answer.
        :param head: the request's head.
        """
        if not isinstance(head, ForwardHead):
            raise GRPCError(Status.INVALID_ARGUMENT, "the head comes first")
        if self.gate is None:
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.TARGET_DOWN, "no target is announced"
            )
            await stream.send_message(self._refusal(refusal))
            return
        await self._serve(self.gate, stream, head)

    async def _serve(self, gate: Gate, stream: Any, head: ForwardHead) -> None:
        answered = False
        try:
            async with gate.serve(self._request(stream, head)) as answer:
                answered = True
                await stream.send_message(
                    ReplyHead(
                        status=answer.status,
                        headers=[
                            [name, value] for name, value in answer.headers
                        ],
                        name=self._name,
                        in_flight=gate.stats.demand,
                        limit=gate.stats.limit,
                    )
                )
                async for data in answer.body:
                    await stream.send_message(BodyPart(data=data))
        except Refusal as refusal:
            if answered:
                raise GRPCError(Status.DATA_LOSS, refusal.detail) from refusal
            await stream.send_message(self._refusal(refusal))

    def _request(self, stream: Any, head: ForwardHead) -> GateRequest:
        return GateRequest(
            request_id=head.request_id,
            service=head.service,
            method=head.method,
            path=head.path,
            headers=[(name, value) for name, value in head.headers],
            body=_body(stream),
            key_hash=head.key_hash,
            idempotent=head.idempotent,
            deadline=self._clock.now() + head.timeout_s,
            fingerprint=head.fingerprint,
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


async def _body(stream: Any) -> AsyncIterator[bytes]:
    while (part := await stream.recv_message()) is not None:
        yield part.data
