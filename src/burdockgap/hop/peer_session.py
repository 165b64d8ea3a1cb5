"""One peer's connection to this daemon."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, cast

from loguru import logger

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    GRANT,
    LONG_MESSAGE_KINDS,
    OFFER,
    PING,
    PONG,
    REFUSED,
    REPLY,
    FrameBuffer,
    FrameError,
    encode_frame,
    encode_pieces,
)
from burdockgap.hop.long_messages import LongMessages
from burdockgap.hop.silence_watch import SilenceWatch
from burdockgap.resources.write_gate import WriteGate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.downlink import Downlink
    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.uplink import Uplink

    Handler = Callable[[Any], Awaitable[Any]]

CALLER_CONNECTION_LOST = "link lost"
"""Message of the ``CancelledError`` of a call whose caller's connection
was lost; a call that the caller cancelled has none."""


class PeerSession(asyncio.Protocol):
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
    :param link_refusals: by kind of call, returns the payload of the
        reply to a long call that the link has no room for in time. It
        gets the seconds until the link has.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    :param downlink: paces what peers send, ``None`` where the bandwidth
        of the machine's link is not a limit.
    """

    __slots__ = (
        "_budget",
        "_buffer",
        "_counter",
        "_downlink",
        "_gate",
        "_handlers",
        "_link_refusals",
        "_long_messages",
        "_long_replies",
        "_loop",
        "_others",
        "_parts",
        "_refusals",
        "_tasks",
        "_transport",
        "_watch",
    )

    def __init__(
        self,
        handlers: dict[int, Handler],
        others: set[PeerSession],
        *,
        uplink: Uplink | None,
        budget: MemoryBudget | None,
        refusals: dict[int, Callable[[], Any]],
        link_refusals: dict[int, Callable[[float], Any]],
        counter: ByteCounter | None,
        downlink: Downlink | None,
    ) -> None:
        self._counter = counter
        self._budget = budget
        self._refusals = refusals
        self._link_refusals = link_refusals
        self._downlink = downlink
        self._gate = WriteGate()
        self._long_messages = LongMessages(
            uplink=uplink,
            downlink=downlink,
            gate=self._gate,
            write=self._write,
        )
        self._handlers = handlers
        self._others = others
        self._loop = asyncio.get_running_loop()
        self._buffer = FrameBuffer(budget)
        self._parts: dict[int, FrameBuffer] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._transport: asyncio.Transport | None = None
        self._long_replies = 0
        self._watch = SilenceWatch(
            self._loop,
            lambda: bool(self._parts or self._long_replies),
            self.close,
        )

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
        """Store the transport."""
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=0)
        self._others.add(self)

    def pause_writing(self) -> None:
        """Hold back the next part of a long reply."""
        self._gate.pause()

    def resume_writing(self) -> None:
        """Go on with long replies."""
        self._gate.resume()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the calls of the connection."""
        self._others.discard(self)
        self._watch.stop()
        self._buffer.close()
        for call_id, buffer in self._parts.items():
            self._long_messages.end_receiving(call_id)
            buffer.close()
        self._parts.clear()
        for task in list(self._tasks.values()):
            task.cancel(CALLER_CONNECTION_LOST)
        self._gate.resume()

    def data_received(self, data: bytes) -> None:
        """Process the complete frames."""
        self._watch.note_received()
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
        elif frame[0] in LONG_MESSAGE_KINDS:
            self._handle_long_message(frame)
        elif frame[0] == CANCEL:
            self._long_messages.end_receiving(frame[1])
            parts = self._parts.pop(frame[1], None)
            if parts is not None:
                parts.close()
            task = self._tasks.get(frame[1])
            if task is not None:
                task.cancel()
        elif frame[0] == REFUSED:
            self._refuse(frame[2], frame[3])
        elif frame[0] == PING:
            self._write(encode_frame(PONG))

    def _handle_long_message(self, frame: list[Any]) -> None:
        if frame[0] == OFFER:
            self._add_offer(*frame[1:])
        elif frame[0] == GRANT:
            self._long_messages.add_grant(frame[1], frame[2])
        else:
            self._long_messages.note_part(frame[1], len(frame[2]))
            self._add_part(frame[1], frame[2])

    def _add_offer(
        self,
        call_id: int,
        size: int,
        rtt_s: float,
        kind: int,
        max_wait_s: float | None,
    ) -> None:
        """Add a long call to those that wait, or refuse it at once."""
        refusal = self._link_refusals.get(kind)
        backlog_s = self._downlink.backlog_s if self._downlink else 0.0
        if (
            refusal is not None
            and max_wait_s is not None
            and backlog_s > max_wait_s
        ):
            self._write(encode_frame(REPLY, call_id, refusal(backlog_s)))
            return
        if call_id in self._parts:
            raise FrameError("a call is offered twice")
        self._parts[call_id] = FrameBuffer(self._budget)
        self._watch.start()
        self._long_messages.add_offer(call_id, size, rtt_s)

    def _add_part(self, call_id: int, part: bytes) -> None:
        """Add a part of a long call, which begins once it is whole."""
        buffer = self._parts.get(call_id)
        if buffer is None:
            buffer = self._parts[call_id] = FrameBuffer(self._budget)
            self._watch.start()
        for frame in buffer.feed(part):
            if frame[0] == CALL:
                self._long_messages.end_receiving(call_id)
                del self._parts[call_id]
            elif frame[0] != REFUSED:
                raise FrameError("a part of a call contains another frame")
            self._handle_frame(frame)

    def _refuse(self, call_id: int, kind: int) -> None:
        refusal = self._refusals.get(kind)
        if refusal is None:
            raise FrameError("a frame does not fit into the memory limit")
        self._write(encode_frame(REPLY, call_id, refusal()))

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
        pieces = encode_pieces(REPLY, call_id, reply)
        size = sum(len(piece) for piece in pieces)
        with ExitStack() as stack:
            if self._budget is not None:
                stack.enter_context(self._budget.hold(size, "replies"))
            if self._long_messages.needs_offer(size):
                self._long_replies += 1
                stack.callback(self._end_long_reply)
                self._watch.start()
                await self._long_messages.send_long(call_id, pieces, size)
            else:
                self._long_messages.send_short(pieces, size)
            await self._gate.wait()

    def _end_long_reply(self) -> None:
        self._long_replies -= 1

    def _write(self, data: bytes) -> None:
        if self._transport is None:
            return
        if self._counter is not None:
            self._counter.sent += len(data)
        # The transport copies the rest of a byte string.
        self._transport.write(memoryview(data))

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
