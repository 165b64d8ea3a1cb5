"""A listener for HTTP/1.1 connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from burdockgap.http1.server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.http1.request import Request
    from burdockgap.uplink import Uplink

_SWEEP_S = 0.5
_BACKLOG = 512
_BUFFER_BYTES = 64 * 1024 * 1024
"""Most bytes of unfinished bodies held by all connections together."""


class Server:
    """
    Answers requests of any number of connections.

    :param handler: answers one request.
    :param on_malformed: told the status of each unreadable request.
    :param uplink: what the machine sends, ``None`` where its link is no
        limit.
    :ivar limits: limits in force, replaced when they change.
    :ivar leaving: whether each answer closes its connection.
    :ivar connections: the open connections.
    :ivar buffered: bytes of bodies that are not complete.
    """

    __slots__ = (
        "_handler",
        "buffered",
        "connections",
        "leaving",
        "limits",
        "loop",
        "on_malformed",
        "uplink",
    )

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Response]],
        *,
        on_malformed: Callable[[int], None] = lambda _status: None,
        limits: ConnectionLimits | None = None,
        uplink: Uplink | None = None,
    ) -> None:
        self.uplink = uplink
        self._handler = handler
        self.on_malformed = on_malformed
        self.limits = limits or ConnectionLimits()
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self.buffered = 0

    @property
    def buffers_full(self) -> bool:
        """Whether unfinished bodies fill the memory meant for them."""
        return self.buffered > _BUFFER_BYTES

    @property
    def in_flight(self) -> int:
        """Requests that are being answered."""
        return sum(conn.busy for conn in self.connections)

    def now(self) -> float:
        """Return the time of the event loop, in seconds."""
        return self.loop.time()

    async def answer(self, req: Request) -> Response:
        """Answer a request; a fault of the program gives 500."""
        try:
            return await self._handler(req)
        except Exception:
            logger.exception("request {} failed in the daemon", req.target)
            return Response(500)

    def close_idle(self) -> None:
        """Close the connections on which nothing is being answered."""
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()

    async def sweep(self) -> None:
        """Close connections of callers that take too long, for ever."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = self.now()
            for conn in list(self.connections):
                conn.overdue(now)


@asynccontextmanager
async def open_server(
    server: Server, host: str, port: int
) -> AsyncIterator[None]:
    """Listen at an address until the context ends."""
    listener = await server.loop.create_server(
        lambda: ServerConnection(server),
        host,
        port,
        backlog=_BACKLOG,
        reuse_address=True,
    )
    sweeper = server.loop.create_task(server.sweep())
    try:
        yield
    finally:
        sweeper.cancel()
        listener.close()
        for conn in list(server.connections):
            conn.close()
