"""The relay: one task for each listener and connection."""

from __future__ import annotations

import socket
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from standins.relay.links import LOG
from standins.relay.port_owner import find_port_owner

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from anyio.abc import SocketStream, TaskGroup

    from standins.relay.link import Link
    from standins.relay.links import Links
    from standins.relay.route import Route

_CHUNK_BYTES = 65536


class Relay:
    """
    Passes on what daemons send to each other and to the log.

    A cut loses datagrams. Connections go silent: what was sent is held
    back until the cut heals, as if it were sent again then.

    :param routes: the daemons.
    :param links: what happens on the way.
    :param peer_port: port that all daemons listen on.
    :param log_host: IP address of the log.
    :param log_port: port of the log.
    :param pids: returns the names of the daemons' processes by id.
    """

    __slots__ = (
        "_links",
        "_log_host",
        "_log_port",
        "_names",
        "_peer_port",
        "_pids",
        "_routes",
        "_sockets",
        "_stack",
        "_tasks",
    )

    def __init__(
        self,
        *,
        routes: Sequence[Route],
        links: Links,
        peer_port: int,
        log_host: str,
        log_port: int,
        pids: Callable[[], Mapping[int, str]],
    ) -> None:
        self._routes = list(routes)
        self._stack: AsyncExitStack | None = None
        self._tasks: TaskGroup | None = None
        self._links = links
        self._peer_port = peer_port
        self._log_host = log_host
        self._log_port = log_port
        self._pids = pids
        self._names: dict[str, str] = {}
        self._sockets: dict[str, socket.socket] = {}

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Relay until cancelled; started once all ports are bound."""
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self._stack = stack
            self._tasks = tasks
            for route in list(self._routes):
                await self._open(stack, tasks, route)
            task_status.started()
            await anyio.sleep_forever()

    async def add(self, route: Route) -> None:
        """Listen for one more daemon while the relay runs."""
        if self._stack is None or self._tasks is None:
            raise RuntimeError("run the relay first")
        self._routes.append(route)
        await self._open(self._stack, self._tasks, route)

    async def _open(
        self, stack: AsyncExitStack, tasks: TaskGroup, route: Route
    ) -> None:
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.enter_context(datagrams)
        datagrams.setblocking(False)
        datagrams.bind((route.advertised, self._peer_port))
        self._names[route.real] = route.name
        self._sockets[route.name] = datagrams
        tasks.start_soon(self._pass_datagrams, tasks, route, datagrams)
        peers = await anyio.create_tcp_listener(
            local_host=route.advertised, local_port=self._peer_port
        )
        log = await anyio.create_tcp_listener(
            local_host=route.advertised, local_port=self._log_port
        )
        tasks.start_soon(
            peers.serve, lambda stream: self._pass_peer(stream, route)
        )
        tasks.start_soon(
            log.serve, lambda stream: self._pass_log(stream, route)
        )

    async def _pass_datagrams(
        self, tasks: TaskGroup, route: Route, datagrams: socket.socket
    ) -> None:
        while True:
            await anyio.wait_readable(datagrams)
            data, (host, _) = datagrams.recvfrom(_CHUNK_BYTES)
            source = self._names.get(host)
            if source is None:
                continue
            link = self._links.link(source, route.name)
            if not link.is_cut:
                tasks.start_soon(self._send, source, route, link, data)

    async def _send(
        self, source: str, route: Route, link: Link, data: bytes
    ) -> None:
        await anyio.sleep(link.delay_s)
        # A datagram that does not fit into the buffer is lost.
        with suppress(OSError):
            self._sockets[source].sendto(data, (route.real, self._peer_port))

    async def _pass_peer(self, stream: SocketStream, route: Route) -> None:
        port = stream.extra(SocketAttribute.remote_port)
        source = find_port_owner(port, self._peer_port, self._pids())
        async with stream:
            if source is not None:
                await self._connect(
                    stream, source, route.name, route.real, self._peer_port
                )

    async def _pass_log(self, stream: SocketStream, route: Route) -> None:
        async with stream:
            await self._connect(
                stream, route.name, LOG, self._log_host, self._log_port
            )

    async def _connect(
        self,
        stream: SocketStream,
        source: str,
        target: str,
        host: str,
        port: int,
    ) -> None:
        there = self._links.link(source, target)
        back = self._links.link(target, source)
        await there.wait_open()
        try:
            other = await anyio.connect_tcp(host, port)
        except OSError:
            return
        async with other, anyio.create_task_group() as tasks:
            tasks.start_soon(_pump, stream, other, there, tasks)
            tasks.start_soon(_pump, other, stream, back, tasks)


async def _pump(
    source: SocketStream, target: SocketStream, link: Link, tasks: TaskGroup
) -> None:
    """Pass bytes on until either side ends."""
    try:
        while True:
            data = await source.receive(_CHUNK_BYTES)
            await link.wait_open()
            await target.send(data)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        # The end of a connection is lost as well while the link is cut.
        await link.wait_open()
    tasks.cancel_scope.cancel()
