"""An HTTP/1.1 server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from loguru import logger

from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from burdockgap.http1.server_connection import ServerConnection
from burdockgap.resources.memory_budget import MemoryBudget
from burdockgap.resources.shedding import select

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from burdockgap.http1.request import Request
    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.charge import Charge
    from burdockgap.uplink import Uplink

_SWEEP_INTERVAL_S = 0.5
_BACKLOG = 512
_DEFAULT_BUDGET_BYTES = 128 * 1024 * 1024
"""For one body of the largest size and what is held besides it."""
_MIN_IDLE_S = 1.0
"""A connection that is idle for less is likely to be used again."""
_SHED_INTERVAL_S = 0.05
"""Each selection examines all connections, up to thousands."""
_EVICTED_SHARE = 16
_FREED_SHARE = 16


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
    :param budget: bounds what all connections hold together, 128 MiB if
        ``None``.
    :param is_control: whether requests may use the whole reserve of the
        budget.
    :param max_connections: connections that may be open at once,
        ``None`` for no limit.
    :param on_shed: called with the reason, the caller's address and the
        bytes held of each connection that is closed for the limits.
    :param counter: counts the bytes of all connections, ``None`` where
        they do not cross the machine's network link.
    :param may_overlap: returns whether a request may run beside others
        that its connection sent before and after it.
    :ivar limits: limits in force, replaced when they change.
    :ivar leaving: whether to close each connection after its current
        response.
    :ivar connections: the open connections.
    """

    __slots__ = (
        "_handler",
        "_is_control",
        "_max_connections",
        "_next_eviction_at",
        "_next_shed_at",
        "_on_shed",
        "budget",
        "connections",
        "counter",
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
        budget: MemoryBudget | None = None,
        counter: ByteCounter | None = None,
        may_overlap: Callable[[Request], bool] = lambda _req: False,
        is_control: bool = False,
        max_connections: int | None = None,
        on_shed: Callable[[str, str, int], None] = lambda *_: None,
    ) -> None:
        self._is_control = is_control
        self._max_connections = max_connections
        self._on_shed = on_shed
        self._next_shed_at = self._next_eviction_at = 0.0
        self.uplink = uplink
        self._handler = handler
        self.on_malformed = on_malformed
        self.limits = limits or ConnectionLimits()
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self.counter = counter
        self.budget = budget or MemoryBudget(_DEFAULT_BUDGET_BYTES)
        self.may_overlap = may_overlap

    @property
    def buffered_bytes(self) -> int:
        """Bytes of bodies of requests that have not been answered."""
        return self.budget.held.get("bodies", 0)

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
            response = await self._handler(req)
        except Exception:
            logger.exception(
                "handler failed for request target {}; answering 500",
                req.target,
            )
            return Response(500)
        if response.charge is None and response.body:
            response.charge = self.charge("responses")
            response.charge.force(len(response.body))
        return response

    def charge(self, holder: str) -> Charge:
        """Return an empty charge of the budget."""
        return self.budget.charge(holder, is_control=self._is_control)

    def admits(self, conn: ServerConnection) -> bool:
        """
        Return whether a new connection may stay open.

        At the limit of connections, the longest idle ones are closed
        for it, as they could be at any time, and those whose request is
        the longest unfinished if none is idle.
        """
        limit = self._max_connections
        if limit is None or len(self.connections) < limit:
            return True
        now = self.now()
        if now < self._next_eviction_at:
            return False
        idle = [
            (other.busy, since, id(other), other)
            for other in self.connections
            if (since := other.waits_since) is not None
            and now - since > _MIN_IDLE_S
        ]
        if not idle:
            self._next_eviction_at = now + _SHED_INTERVAL_S
            self._on_shed("descriptors", conn.peer, 0)
            return False
        # Some at once, so that not every new connection takes a scan.
        for *_, other in sorted(idle)[: max(limit // _EVICTED_SHARE, 1)]:
            self._shed(other, "idle", 0)
        return True

    def free_memory(self, missing_bytes: int) -> None:
        """Close the connections with the least progress."""
        now = self.now()
        if now < self._next_shed_at:
            return
        self._next_shed_at = now + _SHED_INTERVAL_S
        held = [
            item
            for conn in self.connections
            if (item := conn.describe_held(now)) is not None
        ]
        # Some more, so that not every new message takes a scan.
        missing_bytes += self.budget.max_bytes // _FREED_SHARE
        for item in select(held, missing_bytes):
            self._shed(item.connection, "memory", item.held_bytes)

    def _shed(self, conn: ServerConnection, reason: str, size: int) -> None:
        self._on_shed(reason, conn.peer, size)
        conn.shed()

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
                conn.note_progress(now)
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
