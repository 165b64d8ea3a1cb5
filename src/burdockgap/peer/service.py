"""The gRPC service that a daemon offers to its peers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError

from burdockgap.peer.address import split_address
from burdockgap.peer.codec import PeerCodec
from burdockgap.peer.error_counting_server import ErrorCountingServer
from burdockgap.peer.method import (
    FORWARD_PATH,
    FORWARD_REPLY,
    FORWARD_REQUEST,
)
from burdockgap.settings.bind_error import binding
from burdockgap.wire import DecodeError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.metrics import Metrics
    from burdockgap.peer.auth import PeerAuth
    from burdockgap.peer.forward_handler import ForwardHandler
    from burdockgap.peer.method import Method
    from burdockgap.wire import Message

    UnaryHandler = Callable[[Any], Awaitable[Message]]


class PeerService:
    """
    Authenticates each call and passes it to its handler.

    :param auth: checks the proof of the secret.
    :param metrics: counters.
    :param forward: handles forwarded requests.
    """

    __slots__ = ("_auth", "_forward", "_metrics", "_unary")

    def __init__(
        self, *, auth: PeerAuth, metrics: Metrics, forward: ForwardHandler
    ) -> None:
        self._auth = auth
        self._metrics = metrics
        self._forward = forward
        self._unary: list[tuple[Method, UnaryHandler]] = []

    def add(self, method: Method, handler: UnaryHandler) -> None:
        """Register the handler of a unary method."""
        self._unary.append((method, handler))

    def count_rejected(self) -> None:
        """Count a rejected call or connection."""
        self._metrics.peer_calls_rejected.inc()

    def __mapping__(self) -> dict[str, Handler]:
        calls = {
            method.path: Handler(
                partial(self._serve_unary, handler),
                Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
            for method, handler in self._unary
        }
        calls[FORWARD_PATH] = Handler(
            self._serve_forward,
            Cardinality.STREAM_STREAM,
            FORWARD_REQUEST,
            FORWARD_REPLY,
        )
        return calls

    async def _serve_unary(self, handler: UnaryHandler, stream: Any) -> None:
        self._check_proof(stream)
        msg = await self._receive(stream)
        await stream.send_message(await handler(msg))

    async def _serve_forward(self, stream: Any) -> None:
        self._check_proof(stream)
        head = await self._receive(stream)
        await self._forward.serve(stream, head)

    def _check_proof(self, stream: Any) -> None:
        if self._auth.accepts(stream.metadata):
            return
        self.count_rejected()
        raise GRPCError(Status.UNAUTHENTICATED, "no proof of the secret")

    async def _receive(self, stream: Any) -> Any:
        try:
            msg = await stream.recv_message()
        except DecodeError as exc:
            self.count_rejected()
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        if msg is None:
            self.count_rejected()
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        return msg


@asynccontextmanager
async def serve_peers(
    service: PeerService, bind: str
) -> AsyncIterator[ErrorCountingServer]:
    """
    Serve peers on ``ip:port`` until the block ends.

    :raises BindError: if the address cannot be bound.
    """
    host, port = split_address(bind)
    server = ErrorCountingServer(
        [service], codec=PeerCodec(), on_protocol_error=service.count_rejected
    )
    with binding("peer.bind", bind):
        await server.start(host, port)
    try:
        yield server
    finally:
        server.close()
        await server.wait_closed()
