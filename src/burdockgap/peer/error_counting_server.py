"""A gRPC server that reports connections with protocol errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from grpclib.protocol import EventsProcessor, H2Protocol
from grpclib.server import Server

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from collections.abc import Callable, Collection

_PROTOCOL_ERROR_REASON = "Protocol error"


class _Processor(EventsProcessor):
    """Processes a connection's events and reports protocol errors."""

    def __init__(
        self, protocol: H2Protocol, on_protocol_error: Callable[[], None]
    ) -> None:
        super().__init__(protocol.handler, protocol.connection)
        self._on_protocol_error = on_protocol_error

    def close(self, reason: str = "") -> None:
        if reason == _PROTOCOL_ERROR_REASON:
            self._on_protocol_error()
        super().close(reason)


class _Protocol(H2Protocol):
    """One connection; the library itself only logs protocol errors."""

    on_protocol_error: Callable[[], None]

    def connection_made(self, transport: BaseTransport) -> None:
        super().connection_made(transport)
        self.processor = _Processor(self, self.on_protocol_error)


class ErrorCountingServer(Server):
    """
    A server that reports connections closed for HTTP/2 violations.

    :param handlers: as for the library's server.
    :param codec: as for the library's server.
    :param on_protocol_error: called once for each such connection.
    """

    def __init__(
        self,
        handlers: Collection[Any],
        *,
        codec: Any,
        on_protocol_error: Callable[[], None],
    ) -> None:
        super().__init__(handlers, codec=codec)
        self._on_protocol_error = on_protocol_error

    def _protocol_factory(self) -> H2Protocol:
        base = super()._protocol_factory()
        protocol = _Protocol(base.handler, base.config, base.h2_config)
        protocol.on_protocol_error = self._on_protocol_error
        return protocol
