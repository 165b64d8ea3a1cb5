"""Parsing of a caller's bytes into requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from burdockgap.http1.body_step import body_step
from burdockgap.http1.encode import first_value
from burdockgap.http1.request import Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.server import Server

_MAX_HEADERS = 512
_MAX_OVERHEAD_FACTOR = 8
"""A chunk of one byte takes six bytes."""
_HEADER_COST_BYTES = 200
"""Memory that one header takes besides its text: two strings and their
pair, measured with headers of a few bytes."""


class RequestReader:
    """
    Parses requests within the server's limits.

    After a refused request or one after which the caller closes the
    connection, all bytes are ignored.

    :param server: holds the limits and the budget for bodies.
    :param on_request: called with each complete request and whether the
        caller keeps the connection open. Its body stays counted in the
        budget.
    :param on_continue: called when a caller waits for ``100 Continue``.
    :param on_refused: called when a request is refused.
    :ivar refused: status with which to answer a request that was not
        read, ``None`` if all were.
    """

    __slots__ = (
        "_body",
        "_body_charge",
        "_bytes_since_body",
        "_finished",
        "_head_charge",
        "_header_bytes",
        "_headers",
        "_heard_at",
        "_in_head",
        "_is_new",
        "_on_continue",
        "_on_refused",
        "_on_request",
        "_parser",
        "_received_bytes",
        "_server",
        "_started_at",
        "_target",
        "_unparsed_bytes",
        "refused",
    )

    def __init__(
        self,
        server: Server,
        *,
        on_request: Callable[[Request, bool], None],
        on_continue: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        self._server = server
        self._on_request = on_request
        self._on_continue = on_continue
        self._on_refused = on_refused
        self._parser = httptools.HttpRequestParser(self)
        self._finished = False
        self._started_at: float | None = None
        self._heard_at = 0.0
        self._in_head = False
        self._is_new = False
        self._received_bytes = self._bytes_since_body = 0
        self._header_bytes = self._unparsed_bytes = 0
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        # One object: a list of chunks of a few bytes each would take
        # ten times their size.
        self._body = bytearray()
        self.refused: int | None = None
        self._head_charge = server.charge("heads")
        self._body_charge = server.charge("bodies")

    @property
    def held_bytes(self) -> int:
        """Bytes that are counted for an incomplete request."""
        return self._head_charge.size + self._body_charge.size

    @property
    def started_at(self) -> float | None:
        """When the request that is being read began, if any."""
        return self._started_at

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has been received."""
        return self._started_at is not None

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._finished:
            return
        self._heard_at = self._server.now()
        self._is_new = False
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse(400)
        if self.is_reading and not self._is_new:
            # The parser collects an incomplete header or trailer, which
            # the callbacks do not count.
            self._received_bytes += len(data)
            overhead = self._received_bytes - len(self._body)
            header_bytes = self._server.limits.header_bytes
            if (
                overhead
                > header_bytes + _MAX_OVERHEAD_FACTOR * len(self._body)
                # The parser keeps an unfinished trailer.
                or self._bytes_since_body > header_bytes
            ):
                self.refuse(431)
        if self.is_reading and self._in_head:
            # A new request begins somewhere in the data.
            self._unparsed_bytes += len(data)
            if not self._count_head():
                self.refuse(503)

    def is_late(self, now: float) -> bool:
        """
        Return whether a request takes longer than the limits allow.

        :param now: time of the event loop's clock, in seconds.
        """
        if self._started_at is None or self._finished:
            return False
        limits = self._server.limits
        if self._in_head:
            return now - self._started_at > limits.header_timeout_s
        return now - self._heard_at > limits.idle_timeout_s

    def refuse(self, status: int) -> None:
        """Refuse the request that is being read and stop reading."""
        if self._finished:
            return
        self.refused = status
        self.close()
        self._on_refused()

    def close(self) -> None:
        """Stop reading and discard a request that is incomplete."""
        self._finished = True
        self._started_at = None
        self._head_charge.release()
        self._body_charge.release()
        self._headers = []
        self._body = bytearray()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._started_at = self._server.now()
        self._in_head = self._is_new = True
        self._received_bytes = self._bytes_since_body = 0
        self._header_bytes = self._unparsed_bytes = 0
        self._target, self._headers = b"", []

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header or trailer."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )
        if len(self._headers) > _MAX_HEADERS:
            self._abort(431, f"request has more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Tell a caller that expects it to send the body."""
        self._in_head = False
        text = first_value(self._headers, "content-length")
        length = 0 if text is None else int(text)
        if length > self._server.limits.body_bytes:
            self._abort(413, "request body exceeds the size limit")
        if length and not self._body_charge.grow(length):
            self._abort(503, "request body does not fit into the memory")
        if any(name == "expect" for name, _ in self._headers):
            self._on_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; refuse it above the limits."""
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._abort(413, "request body exceeds the size limit")
        self._body += body
        step = body_step(len(self._body), self._body_charge.size)
        if step and not self._body_charge.grow(step):
            self._abort(503, "request body does not fit into the memory")
        self._bytes_since_body = 0

    def on_message_complete(self) -> None:
        """Hand on the complete request."""
        if self._finished:
            return
        assert self._started_at is not None
        req = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            arrived_at=self._started_at,
        )
        if not self._count_head():
            self._abort(503, "request does not fit into the memory")
        self._body_charge.shrink_to(len(self._body))
        req.charges = (self._head_charge,)
        self._head_charge = self._server.charge("heads")
        if self._body_charge.size:
            req.charges = *req.charges, self._body_charge
            self._body_charge = self._server.charge("bodies")
        keep_alive = self._parser.should_keep_alive()
        self._finished = not keep_alive
        self._started_at = None
        self._target, self._headers = b"", []
        self._body = bytearray()
        self._on_request(req, keep_alive)

    def _count_head(self) -> bool:
        """Count the head as received; return whether it fits."""
        # Before the end of a header only the parser holds it.
        size = self._unparsed_bytes if self._in_head else self._header_bytes
        size += _HEADER_COST_BYTES * len(self._headers)
        growth = size - self._head_charge.size
        return growth <= 0 or self._head_charge.grow(growth)

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._abort(431, "request target and headers are too large")

    def _abort(self, status: int, detail: str) -> None:
        """Refuse the request and make the parser stop."""
        self.refuse(status)
        raise httptools.HttpParserError(detail)
