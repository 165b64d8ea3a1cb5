"""The called side of the connections between daemons."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any, cast

from loguru import logger

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    PART,
    PING,
    PONG,
    REFUSED,
    REPLY,
    FrameBuffer,
    FrameError,
    encode_frame,
    encode_pieces,
)
from burdockgap.resources.write_gate import WriteGate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.uplink import Uplink

    Handler = Callable[[Any], Awaitable[Any]]

CALLER_CONNECTION_LOST = "link lost"
"""Message of the ``CancelledError`` of a call whose caller's connection
was lost; a call that the caller cancelled has none."""


class _PeerSession(asyncio.Protocol):
    """
    One peer's connection; runs each of its calls in a task.

    :param handlers: coroutine functions by kind of call.
    :param others: all open connections of the listener, to which this
        one adds itself.
    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the frames of all connections.
    :param refusals: by kind of call, returns the payload of the reply
        to a call for which there is no memory.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    """

    __slots__ = (
        "_budget",
        "_buffer",
        "_counter",
        "_gate",
        "_handlers",
        "_loop",
        "_others",
        "_parts",
        "_refusals",
        "_tasks",
        "_transport",
        "_uplink",
    )

    def __init__(
        self,
        handlers: dict[int, Handler],
        others: set[_PeerSession],
        uplink: Uplink | None,
        budget: MemoryBudget | None,
        refusals: dict[int, Callable[[], Any]],
        counter: ByteCounter | None,
    ) -> None:
        self._counter = counter
        self._budget = budget
        self._refusals = refusals
        self._gate = WriteGate()
        self._uplink = uplink
        self._handlers = handlers
        self._others = others
        self._loop = asyncio.get_running_loop()
        self._buffer = FrameBuffer(budget)
        self._parts: dict[int, FrameBuffer] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._transport: asyncio.Transport | None = None

    @property
    def busy(self) -> bool:
        """Whether a call or a part of a reply is in progress."""
        return bool(
            self._tasks
            or (
                self._transport is not None
                and self._transport.get_write_buffer_size()
            )
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=0)
        self._others.add(self)

    def pause_writing(self) -> None:
        self._gate.pause()

    def resume_writing(self) -> None:
        self._gate.resume()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        self._others.discard(self)
        self._buffer.close()
        for buffer in self._parts.values():
            buffer.close()
        for task in list(self._tasks.values()):
            task.cancel(CALLER_CONNECTION_LOST)
        self._gate.resume()

    def data_received(self, data: bytes) -> None:
        if self._counter is not None:
            self._counter.received += len(data)
        try:
            for frame in self._buffer.feed(data):
                self._handle_frame(frame)
        except (FrameError, IndexError, TypeError) as exc:
            logger.warning(
                "closing a peer's connection after an invalid frame: {}", exc
            )
            self.close()

    def _handle_frame(self, frame: list[Any]) -> None:
        if frame[0] == CALL:
            call_id = frame[1]
            started = self._tasks[call_id] = self._loop.create_task(
                self._run_call(call_id, frame[2], frame[3])
            )
            # Not in the coroutine, no part of which runs if the task is
            # cancelled before it starts.
            started.add_done_callback(lambda _: self._tasks.pop(call_id, None))
        elif frame[0] == PART:
            self._add_part(frame[1], frame[2])
        elif frame[0] == CANCEL:
            parts = self._parts.pop(frame[1], None)
            if parts is not None:
                parts.close()
            task = self._tasks.get(frame[1])
            if task is not None:
                task.cancel()
        elif frame[0] == REFUSED:
            self._refuse(frame[2], frame[3])
        elif frame[0] == PING and self._transport is not None:
            self._transport.write(encode_frame(PONG))

    def _add_part(self, call_id: int, part: bytes) -> None:
        """Add a part of a long call, which begins once it is whole."""
        buffer = self._parts.get(call_id)
        if buffer is None:
            buffer = self._parts[call_id] = FrameBuffer(self._budget)
        for frame in buffer.feed(part):
            if frame[0] == CALL:
                del self._parts[call_id]
            elif frame[0] != REFUSED:
                raise FrameError("a part of a call contains another frame")
            self._handle_frame(frame)

    def _refuse(self, call_id: int, kind: int) -> None:
        refusal = self._refusals.get(kind)
        if refusal is None:
            raise FrameError("a frame does not fit into the memory limit")
        if self._transport is not None:
            self._transport.write(encode_frame(REPLY, call_id, refusal()))

    async def _run_call(self, call_id: int, kind: int, payload: Any) -> None:
        try:
            reply = await self._handlers[kind](payload)
        except Exception:
            logger.exception(
                "handler for a peer's call of kind {} failed; "
                "closing the connection",
                kind,
            )
            self.close()
        else:
            await self._send_reply(call_id, reply)

    async def _send_reply(self, call_id: int, reply: Any) -> None:
        transport, uplink = self._transport, self._uplink
        if transport is None:
            return
        pieces = encode_pieces(REPLY, call_id, reply)
        size = sum(len(piece) for piece in pieces)
        with ExitStack() as stack:
            if self._budget is not None:
                stack.enter_context(self._budget.hold(size, "replies"))
            if uplink is None or size <= uplink.part_bytes:
                if uplink is not None:
                    uplink.count(size)
                for piece in pieces:
                    self._write(transport, piece)
            else:
                for piece in pieces:
                    await uplink.send_in_parts(
                        piece,
                        lambda part: self._write(
                            transport, encode_frame(PART, call_id, part)
                        ),
                        self._gate,
                    )
            await self._gate.wait()

    def _write(self, transport: asyncio.Transport, data: bytes) -> None:
        if self._counter is not None:
            self._counter.sent += len(data)
        # The transport copies the rest of a byte string.
        transport.write(memoryview(data))

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
    budget: MemoryBudget | None = None,
    refusals: dict[int, Callable[[], Any]] | None = None,
    counter: ByteCounter | None = None,
) -> AsyncIterator[Callable[[], bool]]:
    """
    Serve calls of peers at an address until the context exits.

    The context's value is a function that returns whether a call or a
    part of a reply is in progress.

    On exit, all connections are aborted, which cancels their calls.

    :param handlers: coroutine functions by kind of call; each takes the
        payload and returns the payload of the reply.
    :param host: address to listen at.
    :param port: port to listen at.
    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the frames of all connections, ``None`` for no
        bound.
    :param refusals: by kind of call, returns the payload of the reply
        to a call for which there is no memory. The connection is closed
        after one of another kind.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    """
    loop = asyncio.get_running_loop()
    connections: set[_PeerSession] = set()
    listener = await loop.create_server(
        lambda: _PeerSession(
            handlers, connections, uplink, budget, refusals or {}, counter
        ),
        host,
        port,
        reuse_address=True,
    )
    try:
        yield lambda: any(conn.busy for conn in connections)
    finally:
        listener.close()
        for conn in list(connections):
            conn.close()
