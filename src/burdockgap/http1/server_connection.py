"""One caller's connection to the HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from burdockgap.http1.encode import encode_response
from burdockgap.http1.pipeline import Pipeline
from burdockgap.http1.request_reader import RequestReader
from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from burdockgap.http1.server import Server

_LINGER_S = 1.0
"""How long the caller has to close a connection that was closed for
writing. Closing it while bytes arrive would reset it, and the caller
might lose the last response."""


class ServerConnection(asyncio.Protocol):
    """
    Reads requests and sends the responses in order in one task.

    The task and all requests in progress are cancelled when the caller
    closes the connection, so that no work is done for a caller that no
    longer waits.

    :param server: the server that accepted the connection.
    :ivar peer: the caller's IP address, "" if unknown.
    """

    __slots__ = (
        "_closed_at",
        "_idle_since",
        "_pipeline",
        "_reader",
        "_server",
        "_task",
        "_transport",
        "_unsent",
        "_waiter",
        "_writable",
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
        self._writable: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._idle_since = 0.0
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
    def _unsent_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)
        name = transport.get_extra_info("peername")
        self.peer = name[0] if name else ""
        self._idle_since = self._server.now()
        self._server.connections.add(self)
        self._task = self._server.loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the task, and with it the requests in progress."""
        self._server.connections.discard(self)
        self._reader.close()
        self._pipeline.cancel()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection, also when the caller half-closed it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the reader."""
        self._reader.feed(data)

    def pause_writing(self) -> None:
        """Send no further response until the caller has read."""
        self._writable = self._server.loop.create_future()

    def resume_writing(self) -> None:
        """Continue to send responses."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

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
            idle_s = now - self._idle_since
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
        while True:
            while not self._pipeline:
                if self._reader.refused is not None:
                    self._server.on_malformed(self._reader.refused)
                    await self._write(
                        Response(self._reader.refused), close=True
                    )
                    self._close_for_writing()
                    return
                self._waiter = self._server.loop.create_future()
                await self._waiter
            first = self._pipeline.first
            response = await self._pipeline.answer_first()
            if self._writable is not None:
                await self._writable
            # A stopping server still answers what it has started.
            close = not first.keep_alive or (
                self._server.leaving and not self._pipeline.next_is_started
            )
            await self._write(
                response, close=close, bodiless=first.req.method == "HEAD"
            )
            if close:
                # What is behind counts as not read; the caller sends it
                # again.
                self._close_for_writing()
                return
            self._pipeline.remove_first()
            self._idle_since = self._server.now()
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

    async def _write(
        self, response: Response, *, close: bool, bodiless: bool = False
    ) -> None:
        assert self._transport is not None
        data = encode_response(
            response.status,
            response.headers,
            response.body,
            close=close,
            bodiless=bodiless,
        )
        uplink = self._server.uplink
        if uplink is None:
            self._transport.write(data)
        else:
            await uplink.send(data, self._transport.write)
