"""An attempt that runs in a task of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.router.route_reply import RouteReply
from burdockgap.verdict import Refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from anyio.streams.memory import (
        MemoryObjectReceiveStream,
        MemoryObjectSendStream,
    )


class Runner:
    """
    Runs an attempt and streams the body of its answer to a reader.

    The timeouts of an attempt only apply in its own task, so the body
    is read there and passed on through a memory stream.

    :param attempt: the attempt, not entered yet.
    :param on_change: called once there is an answer or a refusal.
    :ivar reply: the answer, once there is one.
    :ivar refusal: the refusal, once there is one.
    :ivar scope: cancels the attempt.
    """

    __slots__ = ("_attempt", "_on_change", "refusal", "reply", "scope")

    def __init__(
        self,
        attempt: AbstractAsyncContextManager[RouteReply],
        on_change: Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._on_change = on_change
        self.reply: RouteReply | None = None
        self.refusal: Refusal | None = None
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Run the attempt until its body has been passed on."""
        with self.scope:
            try:
                async with self._attempt as reply:
                    await self._stream_reply(reply)
            except Refusal as refusal:
                self.refusal = refusal
                self._on_change()

    async def _stream_reply(self, reply: RouteReply) -> None:
        sender, receiver = anyio.create_memory_object_stream[bytes | Refusal](
            0
        )
        self.reply = RouteReply(
            status=reply.status,
            headers=reply.headers,
            body=_received_body(receiver),
            owner=reply.owner,
            owner_address=reply.owner_address,
        )
        self._on_change()
        async with sender:
            await _copy_body(reply.body, sender)


async def _copy_body(
    body: AsyncIterator[bytes],
    sender: MemoryObjectSendStream[bytes | Refusal],
) -> None:
    try:
        async for part in body:
            await sender.send(part)
    except Refusal as refusal:
        await sender.send(refusal)


async def _received_body(
    receiver: MemoryObjectReceiveStream[bytes | Refusal],
) -> AsyncIterator[bytes]:
    async with receiver:
        async for part in receiver:
            if isinstance(part, Refusal):
                raise part
            yield part
