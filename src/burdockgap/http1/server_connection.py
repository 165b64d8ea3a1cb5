"""One caller's connection to the HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from burdockgap.http1.pipeline import Pipeline
from burdockgap.http1.request_reader import RequestReader
from burdockgap.http1.response import Response
from burdockgap.http1.response_writer import ResponseWriter
from burdockgap.resources.held_connection import HeldConnection

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from burdockgap.http1.server import Server

_LINGER_S = 1.0
"""How long the caller has to close a connection that was closed for
writing. Closing it while bytes arrive would reset it, and the caller
might lose the last response."""
_COST_BYTES = 6 * 1024
"""Memory of an idle connection: 4.3 KB, measured with 800 of them, and
the parser's state."""
_MIN_WINDOW_S = 0.5
_RETRY_AFTER = [("Retry-After", "0.500")]
"""After a refusal for lack of memory; connections without progress are
closed in the meantime."""


class ServerConnection(asyncio.Protocol):
    """
    Reads requests and sends the responses in order in one task.

    The task and all requests in progress are cancelled when the caller
    closes the connection, so that no work is done for a caller that no
    longer waits.

    :param server: the server that accepted the connection.
    :ivar idle_since: when the last response was sent, in seconds of the
        event loop's clock.
    :ivar peer: the caller's IP address, "" if unknown.
    """

    __slots__ = (
        "_charge",
        "_closed_at",
        "_marks",
        "_received_bytes",
        "_pipeline",
        "_reader",
        "_server",
        "_task",
        "_transport",
        "_unsent",
        "_waiter",
        "_writer",
        "idle_since",
        "peer",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._pipeline = Pipeline(server)
        self._reader = RequestReader(
            server,
            on_request=self._add_request,
            on_continue=self._send_continue,
            on_refused=self._wake,
        )
        self._waiter: asyncio.Future[None] | None = None
        self._writer: ResponseWriter | None = None
        self._charge = server.charge("connections")
        # Bytes received and sent, and what they were at the last two
        # checks, which are the bounds of the window for the progress.
        self._received_bytes = 0
        self._marks = ((0.0, 0), (0.0, 0))
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self._closed_at: float | None = None
        self._unsent = (0, 0.0)
        self.peer = ""

    @property
    def busy(self) -> bool:
        """Whether a part of a request or a response is in progress."""
        return bool(
            self._pipeline
            or self._reader.is_reading
            or self._closed_at is not None
            or self._unsent_bytes
        )

    @property
    def waits_since(self) -> float | None:
        """
        Since when only the caller can continue, ``None`` if not so.

        Nothing has been received since the last response, or a part of
        a request and nothing else is in progress.
        """
        if self._reader.is_reading and not self._pipeline:
            return self._reader.started_at
        return None if self.busy else self.idle_since

    @property
    def _unsent_bytes(self) -> int:
        return self._writer.unsent_bytes if self._writer else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        name = transport.get_extra_info("peername")
        self.peer = name[0] if name else ""
        self.idle_since = now = self._server.now()
        self._marks = ((now, 0), (now, 0))
        if not (self._server.admits(self) and self._charge.grow(_COST_BYTES)):
            self.abort()
            return
        self._writer = ResponseWriter(self._server, self._transport)
        self._server.connections.add(self)
        self._task = self._server.loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the task, and with it the requests in progress."""
        self._server.connections.discard(self)
        self._discard()

    def eof_received(self) -> bool:
        """Close the connection, also when the caller half-closed it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the reader."""
        self._received_bytes += len(data)
        if self._server.counter is not None:
            self._server.counter.received += len(data)
        self._reader.feed(data)

    def pause_writing(self) -> None:
        """Send no further response until the caller has read."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Continue to send responses."""
        if self._writer is not None:
            self._writer.resume()

    def close_if_overdue(self, now: float) -> bool:
        """
        Close the connection if it is idle or the caller is too slow.

        :param now: time of the event loop's clock, in seconds.
        :return: whether the connection is closed or a request is late.
        """
        if self._is_stalled(now):
            self.abort()
            return True
        if self._reader.is_late(now):
            # True also for a late body: the request has not run.
            self._reader.refuse(408)
            return True
        if self._closed_at is not None:
            overdue = now - self._closed_at > _LINGER_S
            overdue = overdue and not self._unsent_bytes
        else:
            idle_s = now - self.idle_since
            overdue = idle_s > self._server.limits.idle_timeout_s
            overdue = overdue and not self.busy
        if overdue:
            self.close()
        return overdue

    def close(self) -> None:
        """Close the connection after sending what has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without sending anything."""
        if self._transport is not None:
            self._transport.abort()

    def shed(self) -> None:
        """Abort the connection and free what it holds."""
        self._server.connections.discard(self)
        self.abort()
        self._discard()

    def note_progress(self, now: float) -> None:
        """Note how much has been received and sent by a time."""
        self._marks = (self._marks[1], (now, self._progress_bytes))

    def describe_held(
        self, now: float
    ) -> HeldConnection[ServerConnection] | None:
        """Return what is held for the caller, if it has to act."""
        writer = self._writer
        if writer is None:
            return None
        if writer.paused_at is not None:
            since = writer.paused_at
        elif self._pipeline:
            return None
        else:
            since = self._reader.started_at or self.idle_since
        held_bytes = (
            self._charge.size
            + self._reader.held_bytes
            + self._pipeline.held_bytes
            + writer.held_bytes
        )
        start, moved_bytes = self._marks[0]
        return HeldConnection(
            self,
            held_bytes=held_bytes,
            bytes_per_s=(self._progress_bytes - moved_bytes)
            / max(now - start, _MIN_WINDOW_S),
            waiting_s=now - since,
        )

    @property
    def _progress_bytes(self) -> int:
        sent_bytes = self._writer.sent_bytes if self._writer else 0
        return self._received_bytes + sent_bytes

    def _discard(self) -> None:
        """Cancel what is in progress and credit its bytes."""
        self._reader.close()
        self._pipeline.cancel()
        task, self._task = self._task, None
        if task is not None:
            # Without the reference above, the traceback and what its
            # frames refer to are freed at once, not by the collector.
            task.cancel()
        if self._writer is not None:
            self._writer.discard()
        self._charge.release()

    def _is_stalled(self, now: float) -> bool:
        """Return whether the caller has read nothing for too long."""
        unsent, since = self._unsent
        size = self._unsent_bytes
        if size == 0 or size != unsent:
            self._unsent = (size, now)
            return False
        return now - since > self._server.limits.idle_timeout_s

    def _add_request(self, req: Request, keep_alive: bool) -> None:
        self._pipeline.add(req, keep_alive=keep_alive)
        if self._pipeline.is_full and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def _send_continue(self) -> None:
        assert self._transport is not None
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _serve(self) -> None:
        assert self._writer is not None
        while True:
            while not self._pipeline:
                if self._reader.refused is not None:
                    self._server.on_malformed(self._reader.refused)
                    headers = (
                        _RETRY_AFTER if self._reader.refused == 503 else None
                    )
                    await self._writer.write(
                        Response(self._reader.refused, headers), close=True
                    )
                    self._close_for_writing()
                    return
                self._waiter = self._server.loop.create_future()
                await self._waiter
            first = self._pipeline.first
            response = await self._pipeline.answer_first()
            # A stopping server still answers what it has started.
            close = not first.keep_alive or (
                self._server.leaving and not self._pipeline.next_is_started
            )
            await self._writer.write(
                response, close=close, bodiless=first.req.method == "HEAD"
            )
            if close:
                # What is behind counts as not read; the caller sends it
                # again.
                self._close_for_writing()
                return
            self._pipeline.remove_first()
            # Otherwise this frame refers to their bodies until the next
            # request arrives.
            del first, response
            self.idle_since = self._server.now()
            if self._transport is not None and not self._pipeline.is_full:
                self._transport.resume_reading()

    def _close_for_writing(self) -> None:
        """Announce the end of the responses; discard what arrives."""
        self._closed_at = self._server.now()
        self._reader.close()
        self._pipeline.cancel()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._transport.write_eof()
