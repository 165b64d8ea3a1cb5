"""One caller's connection to the HTTP server."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from burdockgap.http1.encode import encode_response
from burdockgap.http1.request import Request
from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from burdockgap.http1.server import Server

_MAX_QUEUED_REQUESTS = 16
"""Queued requests above which reading from the connection is
paused."""


class ServerConnection(asyncio.Protocol):
    """
    Reads requests and answers them in order in one task.

    The task is cancelled when the caller closes the connection, so that
    no work is done for a caller that no longer waits.

    :param server: the server that accepted the connection.
    :ivar busy: whether a request is being handled.
    :ivar peer: the caller's IP address, "" if unknown.
    """

    __slots__ = (
        "_body",
        "_header_bytes",
        "_headers",
        "_idle_since",
        "_parser",
        "_refused",
        "_requests",
        "_server",
        "_started_at",
        "_target",
        "_task",
        "_transport",
        "_waiter",
        "busy",
        "peer",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[tuple[Request, bool]] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._refused: int | None = None
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._started_at: float | None = None
        self._idle_since = 0.0
        self.busy = False
        self.peer = ""

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
        """Cancel the task, and with it the request in progress."""
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection, also when the caller half-closed it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._refused is not None:
            return
        if self._started_at is None:
            self._started_at = self._server.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if self._refused is None:
                self._refuse(400)

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Send 100 Continue to a caller that expects it."""
        if any(name == "expect" for name, _ in self._headers):
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse it above the limits."""
        self._body.append(body)
        self._server.buffered_bytes += len(body)
        size = sum(map(len, self._body)) if len(self._body) > 1 else len(body)
        if size > self._server.limits.body_bytes:
            self._refuse(413)
        elif self._server.buffers_full:
            self._refuse(503)

    def on_message_complete(self) -> None:
        """Queue the complete request for the connection's task."""
        if self._refused is not None:
            return
        body = b"".join(self._body)
        self._server.buffered_bytes -= len(body)
        req = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=body,
            arrived_at=self._started_at or self._server.now(),
        )
        self._requests.append((req, self._parser.should_keep_alive()))
        self._target, self._headers, self._body = b"", [], []
        self._header_bytes, self._started_at = 0, None
        if (
            len(self._requests) > _MAX_QUEUED_REQUESTS
            and self._transport is not None
        ):
            self._transport.pause_reading()
        self._wake()

    def close_if_overdue(self, now: float) -> bool:
        """
        Close the connection if it is idle or a request is late.

        A late request is refused with 408 only while none of its
        headers has been received.

        :param now: time of the event loop's clock, in seconds.
        :return: whether the connection is closed or a request is late.
        """
        limits = self._server.limits
        if self._started_at is not None:
            late = now - self._started_at > limits.header_timeout_s
            if late and not self._headers:
                self._refuse(408)
            return late
        idle = not self.busy and not self._requests
        if idle and now - self._idle_since > limits.idle_timeout_s:
            self.close()
            return True
        return False

    def close(self) -> None:
        """Close the connection after sending what has been written."""
        if self._transport is not None:
            self._transport.close()

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)
            raise httptools.HttpParserError(
                "request target and headers exceed the size limit"
            )

    def _refuse(self, status: int) -> None:
        """Send an error after the queued requests, then close."""
        self._server.buffered_bytes -= sum(map(len, self._body))
        self._body = []
        self._refused = status
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _serve(self) -> None:
        while True:
            while not self._requests:
                if self._refused is not None:
                    self._server.on_malformed(self._refused)
                    await self._write(Response(self._refused), close=True)
                    return
                self._waiter = self._server.loop.create_future()
                await self._waiter
            req, keep_alive = self._requests.popleft()
            self.busy = True
            response = await self._server.answer(req)
            close = not keep_alive or self._server.leaving
            await self._write(
                response, close=close, bodiless=req.method == "HEAD"
            )
            self.busy = False
            self._idle_since = self._server.now()
            if close:
                return
            if self._transport is not None and not self._requests:
                self._transport.resume_reading()

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
        if uplink is not None and len(data) > uplink.part_bytes:
            await uplink.send(data, self._transport.write)
        else:
            if uplink is not None:
                uplink.count(len(data))
            self._transport.write(data)
        if close:
            self._transport.close()
