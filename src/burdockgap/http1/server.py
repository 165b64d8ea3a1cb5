"""An HTTP/1.1 server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.http1.byte_budget import ByteBudget
from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from burdockgap.http1.server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.http1.request import Request
    from burdockgap.uplink import Uplink

_SWEEP_INTERVAL_S = 0.5
_BACKLOG = 512
_DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024


class Server:
    """
    Serves requests of any number of connections with one handler.

    :param handler: returns the response to one request.
    :param on_malformed: called with the status of each request that is
        refused while it is read.
    :param limits: initial limits, defaults of
        :class:`ConnectionLimits` if ``None``.
    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the bodies of unanswered requests of all
        connections together, 64 MiB if ``None``.
    :param may_overlap: returns whether a request may run beside others
        that its connection sent before and after it.
    :ivar limits: limits in force, replaced when they change.
    :ivar leaving: whether to close each connection after its current
        response.
    :ivar connections: the open connections.
    """

    __slots__ = (
        "_handler",
        "budget",
        "connections",
        "leaving",
        "limits",
        "loop",
        "may_overlap",
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
        budget: ByteBudget | None = None,
        may_overlap: Callable[[Request], bool] = lambda _req: False,
    ) -> None:
        self.uplink = uplink
        self._handler = handler
        self.on_malformed = on_malformed
        self.limits = limits or ConnectionLimits()
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self.budget = budget or ByteBudget(_DEFAULT_BUDGET_BYTES)
        self.may_overlap = may_overlap

    @property
    def buffered_bytes(self) -> int:
        """Bytes of bodies of requests that have not been answered."""
        return self.budget.used

    @property
    def in_flight(self) -> int:
        """Number of connections that would be cut off if closed now."""
        return sum(conn.busy for conn in self.connections)

    def now(self) -> float:
        """Return the time of the event loop's clock, in seconds."""
        return self.loop.time()

    async def answer(self, req: Request) -> Response:
        """Return the handler's response, or a 500 if it raises."""
        try:
            return await self._handler(req)
        except Exception:
            logger.exception(
                "handler failed for request target {}; answering 500",
                req.target,
            )
            return Response(500)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()

    async def sweep(self) -> None:
        """Close idle and late connections until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = self.now()
            for conn in list(self.connections):
                conn.close_if_overdue(now)


@asynccontextmanager
async def open_server(
    server: Server, host: str, port: int
) -> AsyncIterator[None]:
    """Serve at an address until the context exits."""
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
