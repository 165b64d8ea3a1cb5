"""The calling side of the connections between daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    GRANT,
    OFFER,
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
from burdockgap.hop.long_messages import LongMessages
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.resources.write_gate import WriteGate

if TYPE_CHECKING:
    from burdockgap.downlink import Downlink
    from burdockgap.hop.reply_progress import ReplyProgress
    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.uplink import Uplink

_PONG_FRAME = encode_frame(PONG)
_CHECK_INTERVAL_S = 0.2
_PING_AFTER_SILENCE_S = 0.3
_SILENCE_TIMEOUT_S = 0.9
"""A live peer would have answered three pings by then."""


class PeerConnection(asyncio.Protocol):
    """
    Makes any number of concurrent calls to one peer.

    Pings are sent while calls are pending. A connection on which
    nothing is received is closed and replaced even if the peer is live:
    a device between the two ends may have dropped the connection's
    state.

    :param loop: the event loop.
    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the incomplete frames of all connections,
        ``None`` for no bound.
    :param counter: counts the bytes, ``None`` not to count them.
    :param downlink: paces what peers send, ``None`` where the bandwidth
        of the machine's link is not a limit.
    :ivar lost: whether the connection is closed or has failed.
    :ivar rtt_s: round-trip time to the peer, in seconds.
    :ivar silence_timeout_s: seconds without a received byte after which
        pending calls fail.
    :ivar progress: notes what arrives of a reply, if set; for a
        connection of a single call.
    """

    __slots__ = (
        "_budget",
        "_buffer",
        "_calls",
        "_checker",
        "_counter",
        "_gate",
        "_heard_at",
        "_long_messages",
        "_loop",
        "_next_id",
        "_parts",
        "_transport",
        "lost",
        "progress",
        "rtt_s",
        "silence_timeout_s",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        uplink: Uplink | None = None,
        budget: MemoryBudget | None = None,
        counter: ByteCounter | None = None,
        downlink: Downlink | None = None,
    ) -> None:
        self._counter = counter
        self._loop = loop
        self._budget = budget
        self._gate = WriteGate()
        self._long_messages = LongMessages(
            uplink=uplink,
            downlink=downlink,
            gate=self._gate,
            write=self._write,
        )
        self.rtt_s = 0.0
        self.silence_timeout_s = _SILENCE_TIMEOUT_S
        self._parts: dict[int, FrameBuffer] = {}
        self._buffer = FrameBuffer(budget)
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next_id = 0
        self._transport: asyncio.Transport | None = None
        self._heard_at = loop.time()
        self._checker: asyncio.TimerHandle | None = None
        self.lost = False
        self.progress: ReplyProgress | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        # Only while a long call is sent does it matter whether the
        # transport has sent all.
        self._transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Hold back the next part of a long call."""
        self._gate.pause()

    def resume_writing(self) -> None:
        """Go on with long calls."""
        self._gate.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all pending calls."""
        self._abort(f"connection to the peer was lost: {exc or 'EOF'}")

    def data_received(self, data: bytes) -> None:
        """Deliver received replies to the pending calls."""
        self._heard_at = self._loop.time()
        if self._counter is not None:
            self._counter.received += len(data)
        if self.progress is not None and data != _PONG_FRAME:
            self.progress.note()
        try:
            for frame in self._buffer.feed(data):
                self._handle_frame(frame)
        except (FrameError, IndexError, TypeError) as exc:
            self._abort(f"the peer sent an invalid frame: {exc}")

    def _handle_frame(self, frame: list[Any]) -> None:
        if frame[0] == PONG:
            return
        call_id, payload = frame[1], frame[2]
        if frame[0] == REFUSED:
            # Its call's number stands in the place of the payload.
            self._fail_reply(payload, "does not fit into the memory limit")
        elif frame[0] == GRANT:
            self._long_messages.add_grant(call_id, payload)
        elif call_id not in self._calls:
            return
        else:
            self._handle_reply(frame[0], call_id, payload)

    def _handle_reply(self, kind: int, call_id: int, payload: Any) -> None:
        if kind == OFFER:
            self._long_messages.add_offer(call_id, payload, self.rtt_s)
        elif kind == PART:
            self._long_messages.note_part(call_id, len(payload))
            self._add_part(call_id, payload)
        elif kind == REPLY:
            fut = self._calls.pop(call_id)
            if not fut.done():
                fut.set_result(payload)

    def _add_part(self, call_id: int, part: bytes) -> None:
        buffer = self._parts.get(call_id)
        if buffer is None:
            buffer = self._parts[call_id] = FrameBuffer(self._budget)
        try:
            for reply_frame in buffer.feed(part):
                self._handle_frame(reply_frame)
        except FrameError as exc:
            # The other calls of the connection can still be completed.
            self._fail_reply(call_id, f"is invalid: {exc}")

    def _fail_reply(self, call_id: int, detail: str) -> None:
        """Fail a call whose reply cannot be received."""
        fut = self._calls.pop(call_id, None)
        if fut is not None and not fut.done():
            fut.set_exception(
                PeerCallError(
                    f"the reply {detail}", sent=True, peer_is_alive=True
                )
            )

    async def call(
        self, kind: int, payload: Any, max_wait_s: float | None = None
    ) -> Any:
        """
        Send a call and return the reply's payload.

        Cancelling this coroutine cancels the call at the peer.

        :param kind: a number of :mod:`burdockgap.hop.call_kinds`.
        :param payload: any value that msgpack can encode.
        :param max_wait_s: how long a long call may wait for the peer's
            link, in seconds; ``None`` for no limit.
        :raises PeerCallError: if the connection is closed, fails, or
            receives nothing for too long.
        """
        if self.lost or self._transport is None:
            raise PeerCallError("connection to the peer is closed", sent=False)
        self._next_id += 1
        call_id = self._next_id
        if not self._calls:
            self._heard_at = self._loop.time()
        fut: asyncio.Future[Any] = self._loop.create_future()
        self._calls[call_id] = fut
        pieces = encode_pieces(CALL, call_id, kind, payload)
        size = sum(len(piece) for piece in pieces)
        sending: asyncio.Task[None] | None = None
        if self._long_messages.needs_offer(size):
            sending = self._loop.create_task(
                self._long_messages.send_long(
                    call_id, pieces, size, self.rtt_s, kind, max_wait_s
                )
            )
        else:
            self._long_messages.send_short(pieces, size)
        del pieces
        self._schedule_check()
        try:
            return await fut
        finally:
            # An early reply, which refuses the call, ends it as well.
            is_incomplete = sending is not None and sending.cancel()
            has_failed = not _has_result(fut)
            if self._counter is not None and has_failed:
                self._counter.abandoned += size
            # The peer may be waiting to send a reply that does not fit.
            if is_incomplete or has_failed:
                self._write(encode_frame(CANCEL, call_id))
            self._calls.pop(call_id, None)
            self._long_messages.end_receiving(call_id)
            parts = self._parts.pop(call_id, None)
            if parts is not None:
                parts.close()

    def _write(self, data: bytes) -> None:
        if self.lost or self._transport is None:
            return
        if self._counter is not None:
            self._counter.sent += len(data)
        # The transport copies the rest of a byte string.
        self._transport.write(memoryview(data))

    def close(self) -> None:
        """Abort the connection and fail all pending calls."""
        self._abort("connection to the peer was closed locally")

    def _schedule_check(self) -> None:
        if self._checker is None:
            self._checker = self._loop.call_later(
                _CHECK_INTERVAL_S, self._check_silence
            )

    def _check_silence(self) -> None:
        self._checker = None
        if not self._calls or self.lost:
            return
        silence_s = self._loop.time() - self._heard_at
        if silence_s > self.silence_timeout_s:
            self._abort("the peer sent nothing, not even replies to pings")
            return
        if silence_s > _PING_AFTER_SILENCE_S:
            self._write(encode_frame(PING))
        self._schedule_check()

    def _abort(self, detail: str) -> None:
        self.lost = True
        self._gate.resume()
        self._buffer.close()
        if self._transport is not None:
            self._transport.abort()
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            if not fut.done():
                fut.set_exception(PeerCallError(detail, sent=True))


def _has_result(fut: asyncio.Future[Any]) -> bool:
    return fut.done() and not fut.cancelled() and fut.exception() is None
