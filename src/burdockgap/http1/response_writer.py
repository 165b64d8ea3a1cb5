"""Sending of responses over one caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.http1.encode import encode_response
from burdockgap.resources.write_gate import WriteGate

if TYPE_CHECKING:
    import asyncio

    from burdockgap.http1.response import Response
    from burdockgap.http1.server import Server

_JOINED_BYTES = 16 * 1024
"""Smaller bodies are sent in one write with their head; larger ones are
not copied."""


class ResponseWriter:
    """
    Writes one response at a time, as fast as the caller reads.

    :param server: the server that accepted the connection.
    :param transport: the connection's transport.
    :ivar paused_at: since when the caller has not read what was
        written, in seconds of the event loop's clock, ``None`` if it
        has.
    """

    __slots__ = (
        "_gate",
        "_response",
        "_server",
        "_transport",
        "_written_bytes",
        "paused_at",
    )

    def __init__(self, server: Server, transport: asyncio.Transport) -> None:
        self._server = server
        self._transport = transport
        self._gate = WriteGate()
        self._response: Response | None = None
        self._written_bytes = 0
        self.paused_at: float | None = None
        # The rest of a large response is given to the transport when it
        # has passed on the part before.
        transport.set_write_buffer_limits(high=0)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the transport holds."""
        return self._transport.get_write_buffer_size()

    @property
    def sent_bytes(self) -> int:
        """Bytes that the transport has passed on."""
        return self._written_bytes - self.unsent_bytes

    @property
    def held_bytes(self) -> int:
        """Size of the response that is being sent."""
        return len(self._response.body) if self._response else 0

    def pause(self) -> None:
        """Note that the caller does not read for now."""
        self._gate.pause()
        self.paused_at = self._server.now()

    def resume(self) -> None:
        """Continue to send."""
        self.paused_at = None
        self._gate.resume()

    def discard(self) -> None:
        """Credit the bytes of the response that is being sent."""
        response, self._response = self._response, None
        if response is not None and response.charge is not None:
            response.charge.release()

    async def write(
        self, response: Response, *, close: bool, bodiless: bool = False
    ) -> None:
        """Write a response; return when the transport has sent it."""
        self._response = response
        try:
            await self._write_parts(response, close=close, bodiless=bodiless)
        finally:
            self._response = None

    async def _write_parts(
        self, response: Response, *, close: bool, bodiless: bool
    ) -> None:
        body = b"" if bodiless else response.body
        is_joined = len(body) <= _JOINED_BYTES
        data = encode_response(
            response.status,
            response.headers,
            response.body,
            close=close,
            bodiless=bodiless or not is_joined,
        )
        await self._send(data)
        if not is_joined:
            await self._send(body)
        await self._gate.wait()

    async def _send(self, data: bytes) -> None:
        uplink = self._server.uplink
        if uplink is None:
            self._write_to_transport(data)
        else:
            await uplink.send(data, self._write_to_transport, self._gate)

    def _write_to_transport(self, data: bytes | memoryview) -> None:
        self._written_bytes += len(data)
        if self._server.counter is not None:
            self._server.counter.sent += len(data)
        # The transport copies the rest of a byte string.
        self._transport.write(memoryview(data))
