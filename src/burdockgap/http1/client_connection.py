"""One connection to a server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from collections.abc import Callable

_FIRST_FINAL_STATUS = 200
_KEEP_ALIVE_SHARE = 0.8
_LEAST_KEEP_ALIVE_S = 0.2


class ClientConnection(asyncio.Protocol):
    """
    Sends one request at a time and reads its response.

    :param loop: the event loop.
    :param idle_s: seconds after which an unused connection is given up,
        unless the server names fewer.
    :param on_unexpected: told of bytes that belong to no request.
    :param on_closed: called when the server closes the connection
        without having announced it.
    :ivar reusable: whether another request may be sent.
    :ivar idle_since: when the last response ended, in seconds.
    """

    __slots__ = (
        "_accepts",
        "_body",
        "_bodiless",
        "_fut",
        "_headers",
        "_heard_at",
        "_idle_s",
        "_loop",
        "_parser",
        "_status",
        "_transport",
        "_unframed",
        "idle_since",
        "on_closed",
        "on_unexpected",
        "reusable",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        idle_s: float,
        on_unexpected: Callable[[str], None] = lambda _what: None,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = loop
        self._idle_s = idle_s
        self.on_unexpected = on_unexpected
        self.on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[Response] | None = None
        self._accepts: Callable[[Response], bool] | None = None
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._status = 0
        self._bodiless = False
        self._unframed = False
        self.reusable = True
        self.idle_since = loop.time()
        self._heard_at = self.idle_since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's own transports are of no common base class.
        self._transport = cast("asyncio.Transport", transport)

    def fresh(self, now: float) -> bool:
        """Tell whether an unused connection is expected to be open."""
        return self.reusable and now - self.idle_since < self._idle_s

    async def exchange(
        self,
        data: bytes,
        *,
        accepts: Callable[[Response], bool] | None = None,
        bodiless: bool = False,
        silence_s: float | None = None,
    ) -> Response:
        """
        Send a request and return its response.

        Cancelling the call closes the connection, which tells the
        server to drop the work.

        :param data: the request's bytes.
        :param accepts: tells a response to this request from one to an
            earlier one, which is passed over.
        :param bodiless: whether the response has no body, as for
            ``HEAD``.
        :param silence_s: longest time without any byte of the response.
        :raises ExchangeError: if the connection ends before the whole
            response, or is silent for too long.
        """
        if self._transport is None or not self.reusable:
            raise ExchangeError("the connection is closed", sent=False)
        self._accepts = accepts
        self._bodiless = bodiless
        self._fut = self._loop.create_future()
        self._transport.write(data)
        if silence_s is not None:
            self._heard_at = self._loop.time()
            self._watch(self._fut, silence_s)
        try:
            return await self._fut
        except BaseException:
            self.close()
            raise
        finally:
            self._fut = None
            self.idle_since = self._loop.time()

    def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody asked for end the use."""
        self._heard_at = self._loop.time()
        if self._fut is None or self._fut.done():
            self.on_unexpected("bytes without a request")
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.reusable = False
            self._fail(f"the response cannot be read: {exc}")
            self.close()

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        if self._unframed and self._status:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        if self.reusable:
            self.on_closed()
        self.reusable = False
        self._fail(f"the connection was closed by the server: {exc or 'EOF'}")

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers, self._body, self._status = [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        self._unframed = not names & {"content-length", "transfer-encoding"}
        if self._bodiless and self._status >= _FIRST_FINAL_STATUS:
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Deliver the response."""
        if self._status < _FIRST_FINAL_STATUS:
            self._status = 0
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    def _watch(self, fut: asyncio.Future[Response], silence_s: float) -> None:
        """Fail an exchange once nothing has come for some seconds."""
        if fut.done():
            return
        left_s = self._heard_at + silence_s - self._loop.time()
        if left_s > 0:
            self._loop.call_later(left_s, self._watch, fut, silence_s)
            return
        self._fail(f"no answer within {silence_s} s")
        self.close()

    def _complete(self) -> None:
        response = Response(self._status, self._headers, b"".join(self._body))
        self._status = 0
        if self._fut is None or self._fut.done():
            self.on_unexpected("a second response")
            self.reusable = False
            return
        if self._accepts is not None and not self._accepts(response):
            self.on_unexpected("a response to an earlier request")
            self.reusable = False
            return
        self._follow_keep_alive(response)
        self._fut.set_result(response)

    def _follow_keep_alive(self, response: Response) -> None:
        value = response.header("keep-alive")
        if value is None:
            return
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name.lower() == "timeout" and number.strip().isdigit():
                self._idle_s = max(
                    float(number) * _KEEP_ALIVE_SHARE, _LEAST_KEEP_ALIVE_S
                )

    def _fail(self, detail: str) -> None:
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(ExchangeError(detail, sent=True))
