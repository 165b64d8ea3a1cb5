"""The answering side of connections between daemons."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, cast

from loguru import logger

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    PART,
    PING,
    PONG,
    REPLY,
    FrameBuffer,
    FrameError,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.uplink import Uplink

    Handler = Callable[[Any], Awaitable[Any]]

CALLER_CONNECTION_LOST = "link lost"
"""Message of a cancellation because the caller's connection was
lost."""


class _Incoming(asyncio.Protocol):
    """
    Runs one task per call of a peer.

    :param handlers: answers by kind of call.
    :param others: all open connections of the listener.
    :param uplink: what the machine sends, ``None`` where its link is no
        limit.
    """

    __slots__ = (
        "_buffer",
        "_handlers",
        "_loop",
        "_others",
        "_tasks",
        "_transport",
        "_uplink",
    )

    def __init__(
        self,
        handlers: dict[int, Handler],
        others: set[_Incoming],
        uplink: Uplink | None,
    ) -> None:
        self._uplink = uplink
        self._handlers = handlers
        self._others = others
        self._loop = asyncio.get_running_loop()
        self._buffer = FrameBuffer()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own transports are of no common base class.
        self._transport = cast("asyncio.Transport", transport)

        self._others.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        self._others.discard(self)
        for task in list(self._tasks.values()):
            task.cancel(CALLER_CONNECTION_LOST)

    def data_received(self, data: bytes) -> None:
        try:
            for frame in self._buffer.feed(data):
                self._take(frame)
        except (FrameError, IndexError, TypeError) as exc:
            logger.warning("closing a peer's connection: {}", exc)
            self.close()

    def _take(self, frame: list[Any]) -> None:
        if frame[0] == CALL:
            number = frame[1]
            self._tasks[number] = self._loop.create_task(
                self._run(number, frame[2], frame[3])
            )
        elif frame[0] == CANCEL:
            task = self._tasks.get(frame[1])
            if task is not None:
                task.cancel()
        elif frame[0] == PING and self._transport is not None:
            self._transport.write(encode_frame(PONG))

    async def _run(self, number: int, kind: int, payload: Any) -> None:
        try:
            reply = await self._handlers[kind](payload)
        except Exception:
            logger.exception("a peer's call of kind {} failed", kind)
            self.close()
        else:
            await self._reply(number, reply)
        finally:
            self._tasks.pop(number, None)

    async def _reply(self, number: int, reply: Any) -> None:
        transport, uplink = self._transport, self._uplink
        if transport is None:
            return
        frame = encode_frame(REPLY, number, reply)
        if uplink is None or len(frame) <= uplink.part_bytes:
            if uplink is not None:
                uplink.count(len(frame))
            transport.write(frame)
            return
        await uplink.send(
            frame,
            lambda part: transport.write(encode_frame(PART, number, part)),
        )

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


@asynccontextmanager
async def open_listener(
    handlers: dict[int, Handler],
    host: str,
    port: int,
    *,
    uplink: Uplink | None = None,
) -> AsyncIterator[None]:
    """
    Answer calls of peers at an address until the context ends.

    :param uplink: what the machine sends, ``None`` where its link is no
        limit.
    """
    loop = asyncio.get_running_loop()
    connections: set[_Incoming] = set()
    listener = await loop.create_server(
        lambda: _Incoming(handlers, connections, uplink),
        host,
        port,
        reuse_address=True,
    )
    try:
        yield
    finally:
        listener.close()
        for conn in list(connections):
            conn.close()
