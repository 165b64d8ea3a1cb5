"""One client connection to an HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NoReturn, cast

import httptools

from burdockgap.http1.encode import first_value
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.read_timeout import ReadTimeout
from burdockgap.http1.recent_ids import RecentIds
from burdockgap.http1.response_body import ResponseBody
from burdockgap.http1.response_head import (
    check_status,
    is_final,
    keep_alive_s,
)
from burdockgap.http1.response_limits import ResponseLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.response import Response
    from burdockgap.resources.byte_counter import ByteCounter

# Share of the announced keep-alive timeout in which a connection is
# used, so that the server does not close it while a request is sent.
_KEEP_ALIVE_SHARE = 0.8
_MIN_KEEP_ALIVE_S = 0.2
_JOINED_BYTES = 16 * 1024
"""Smaller bodies are sent in one write with their head; larger ones are
not copied."""


class ClientConnection(asyncio.Protocol):
    """
    Sends one request at a time and reads its response.

    :param loop: the event loop.
    :param idle_s: seconds for which an unused connection stays usable,
        until the server sends a keep-alive timeout.
    :param on_unexpected: called with a description of bytes or a
        response that no pending request asked for.
    :param limits: limits of a response, defaults of
        :class:`ResponseLimits` if ``None``.
    :param counter: counts the bytes, ``None`` not to count them.
    :ivar reusable: whether another request may be sent.
    :ivar sent_ids: ids of the requests that were sent lately.
    :ivar idle_since: when the last exchange ended, in seconds of the
        event loop's clock.
    """

    __slots__ = (
        "_accepts",
        "_body",
        "_bodiless",
        "_bytes_since_body",
        "_connected_at",
        "_counter",
        "_fut",
        "_headers",
        "_idle_s",
        "_is_first",
        "_limits",
        "_loop",
        "_parser",
        "_read_timeout",
        "_received_bytes",
        "_status",
        "_transport",
        "_unframed",
        "idle_since",
        "on_unexpected",
        "reusable",
        "sent_ids",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        idle_s: float,
        on_unexpected: Callable[[str], None] = lambda _what: None,
        limits: ResponseLimits | None = None,
        counter: ByteCounter | None = None,
    ) -> None:
        self._counter = counter
        self._loop = loop
        self._idle_s = idle_s
        self.on_unexpected = on_unexpected
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[Response] | None = None
        self._accepts: Callable[[Response], bool] | None = None
        self._headers: list[tuple[str, str]] = []
        self._received_bytes = self._bytes_since_body = 0
        self._limits = limits or ResponseLimits()
        self._body = ResponseBody(self._limits)
        self._status = 0
        self._read_timeout: ReadTimeout | None = None
        self._bodiless = False
        self._unframed = False
        self._is_first = True
        self.reusable = True
        self.sent_ids = RecentIds()
        self.idle_since = self._connected_at = loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._connected_at = self._loop.time()
        # uvloop's transports do not derive from asyncio.Transport.
        self._transport = cast("asyncio.Transport", transport)

    def is_usable(self, now: float) -> bool:
        """Return whether the idle connection is expected to be open."""
        return self.reusable and now - self.idle_since < self._idle_s

    async def exchange(
        self,
        data: bytes,
        *,
        body: bytes = b"",
        accepts: Callable[[Response], bool] | None = None,
        bodiless: bool = False,
        read_timeout_s: float | None = None,
        request_id: str | None = None,
    ) -> Response:
        """
        Send a request and return its response.

        Cancelling it closes the connection, which tells the server to
        cancel the request.

        :param data: the encoded request, or its head.
        :param body: the body, if ``data`` is only the head.
        :param accepts: returns whether a response belongs to this
            request; one to an earlier request is skipped.
        :param bodiless: whether the response has no body, as for
            ``HEAD``.
        :param read_timeout_s: seconds without a received byte after
            which the exchange fails, ``None`` for no limit.
        :param request_id: the request's id, if it has one.
        :raises ExchangeError: if the connection ends before the
            response is complete, the read timeout expires, or the
            response exceeds its limits.
        """
        if self._transport is None or not self.reusable:
            raise ExchangeError("connection is closed", sent=False)
        self._accepts = accepts
        self._bodiless = bodiless
        self._received_bytes = self._bytes_since_body = 0
        self._fut = self._loop.create_future()
        if request_id is not None:
            self.sent_ids.add(request_id, self._loop.time())
        if self._counter is not None:
            self._counter.sent += len(data) + len(body)
        if len(body) <= _JOINED_BYTES:
            self._transport.write(data + body)
        else:
            self._transport.write(data)
            # The transport copies the rest of a byte string.
            self._transport.write(memoryview(body))
        if read_timeout_s is not None:
            self._read_timeout = ReadTimeout(
                self._loop,
                read_timeout_s,
                lambda: self._abort_exchange(
                    f"received nothing for {read_timeout_s} s"
                ),
            )
        try:
            return await self._fut
        except BaseException:
            self.close()
            raise
        finally:
            self._fut = None
            if self._read_timeout is not None:
                self._read_timeout.cancel()
                self._read_timeout = None
            self._is_first = False
            self._body.discard()
            self.idle_since = self._loop.time()

    def close(self) -> None:
        """Abort the connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on unexpected bytes."""
        if self._counter is not None:
            self._counter.received += len(data)
        if self._read_timeout is not None:
            self._read_timeout.note_bytes()
        if self._fut is None or self._fut.done():
            self.on_unexpected("bytes without a request")
            self.close()
            return
        try:
            self._bytes_since_body += len(data)
            self._parser.feed_data(data)
            self._received_bytes += len(data)
            self._check_overhead()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.reusable = False
            self._fail_exchange(f"response is not valid HTTP/1.1: {exc}")
            self.close()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the close."""
        if self._unframed and self._status:
            self._complete(ends_at_close=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.reusable = False
        self._fail_exchange(
            f"connection was closed by the server: {exc or 'EOF'}"
        )

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers, self._status = [], 0
        self._body.discard()
        if self._fut is None or self._fut.done():
            # The rest of it may only arrive after the next request.
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )
        if len(self._headers) > self._limits.headers:
            self._reject(f"has more than {self._limits.headers} headers")

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited."""
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        self._unframed = not names & {
            "content-length",
            "transfer-encoding",
        }
        length = first_value(self._headers, "content-length")
        try:
            check_status(self._status, has_body=not self._unframed)
            if length is not None and not self._bodiless:
                self._body.reserve(int(length))
        except ValueError as exc:
            self._reject(str(exc))
        if self._bodiless and is_final(self._status):
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        try:
            self._body.append(body)
        except ValueError as exc:
            self._reject(str(exc))
        self._bytes_since_body = 0

    def on_message_complete(self) -> None:
        """Deliver a final response; ignore an interim one."""
        if not is_final(self._status):
            self._status = 0
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    def _check_overhead(self) -> None:
        if self._fut is None or self._fut.done():
            return
        overhead = self._received_bytes - len(self._body)
        if (
            overhead > self._limits.max_overhead(len(self._body))
            # The parser keeps an unfinished trailer.
            or self._bytes_since_body > self._limits.header_bytes
        ):
            self._abort_exchange(
                f"response has {overhead} bytes besides its body; "
                f"the limit is {self._limits.header_bytes} bytes"
            )

    def _reject(self, detail: str) -> NoReturn:
        """Fail the exchange and make the parser stop."""
        self._fail_exchange(f"response {detail}")
        raise httptools.HttpParserError(detail)

    def _complete(self, *, ends_at_close: bool = False) -> None:
        response = self._body.complete(self._status, self._headers)
        response.connected_at = self._connected_at
        response.ends_at_close = ends_at_close
        response.follows_others = not self._is_first
        self._status = 0
        if self._fut is None or self._fut.done():
            self.on_unexpected("a second response")
            self.reusable = False
            return
        if self._accepts is not None and not self._accepts(response):
            self.on_unexpected("a response to an earlier request")
            self.reusable = False
            return
        self._apply_keep_alive(response)
        self._fut.set_result(response)

    def _apply_keep_alive(self, response: Response) -> None:
        value = response.header("keep-alive")
        timeout_s = None if value is None else keep_alive_s(value)
        if timeout_s is not None:
            self._idle_s = max(
                timeout_s * _KEEP_ALIVE_SHARE, _MIN_KEEP_ALIVE_S
            )

    def _abort_exchange(self, detail: str) -> None:
        self._fail_exchange(detail)
        self.close()

    def _fail_exchange(self, detail: str) -> None:
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(ExchangeError(detail, sent=True))
