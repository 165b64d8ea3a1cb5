"""A relay with one task for each listener and connection."""

from __future__ import annotations

import socket
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, cast

import anyio
from anyio.abc import SocketAttribute

from standins.relay.links import LOG
from standins.relay.port_owner import find_port_owner
from standins.relay.relayed_stream import RelayedStream

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from anyio.abc import SocketStream, TaskGroup

    from standins.relay.link import Link
    from standins.relay.links import Links
    from standins.relay.route import Route

    _Address = tuple[str, int]

_CHUNK_BYTES = 65536


class Relay:
    """
    Forwards the traffic between daemons and to the log.

    A cut link drops datagrams. On TCP connections, data is held back
    until the link heals, as if TCP retransmitted it then.

    :param routes: the addresses of the daemons.
    :param links: the simulated links, which delay or block traffic.
    :param peer_port: port that all daemons listen on.
    :param log_host: IP address of the log.
    :param log_port: port of the log.
    :param pids: returns the names of the running daemons by process id.
    """

    __slots__ = (
        "_links",
        "_log_host",
        "_log_port",
        "_names_by_ip",
        "_peer_port",
        "_pids",
        "_routes",
        "_sockets_by_name",
        "_streams",
        "_exit_stack",
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
        self._exit_stack: AsyncExitStack | None = None
        self._tasks: TaskGroup | None = None
        self._links = links
        self._peer_port = peer_port
        self._log_host = log_host
        self._log_port = log_port
        self._pids = pids
        self._names_by_ip: dict[str, str] = {}
        self._sockets_by_name: dict[str, socket.socket] = {}
        self._streams: set[RelayedStream] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """
        Run until cancelled.

        :param task_status: started once all ports are bound.
        """
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self._exit_stack = stack
            self._tasks = tasks
            for route in list(self._routes):
                await self._open_listeners(stack, tasks, route)
            task_status.started()
            await anyio.sleep_forever()

    async def add(self, route: Route) -> None:
        """
        Add a daemon while the relay is running.

        :raises RuntimeError: if the relay has not been started.
        """
        if self._exit_stack is None or self._tasks is None:
            raise RuntimeError("relay is not running; start run() first")
        self._routes.append(route)
        await self._open_listeners(self._exit_stack, self._tasks, route)

    def silence(
        self, rng: random.Random, *, store_share: float, peer_share: float
    ) -> None:
        """
        Let open connections fall silent for good; new ones work.

        :param rng: chooses the connections.
        :param store_share: share of the connections to the log.
        :param peer_share: share of those between daemons.
        """
        for stream in self._streams:
            share = store_share if stream.target == LOG else peer_share
            if rng.random() < share:
                stream.is_silent = True

    async def _open_listeners(
        self, stack: AsyncExitStack, tasks: TaskGroup, route: Route
    ) -> None:
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.enter_context(datagrams)
        datagrams.setblocking(False)
        datagrams.bind((route.advertised, self._peer_port))
        self._names_by_ip[route.real] = route.name
        self._sockets_by_name[route.name] = datagrams
        tasks.start_soon(self._forward_datagrams, tasks, route, datagrams)
        peers = await anyio.create_tcp_listener(
            local_host=route.advertised, local_port=self._peer_port
        )
        log = await anyio.create_tcp_listener(
            local_host=route.advertised, local_port=self._log_port
        )
        tasks.start_soon(
            peers.serve,
            lambda stream: self._forward_peer_stream(stream, route),
        )
        tasks.start_soon(
            log.serve, lambda stream: self._forward_log_stream(stream, route)
        )

    async def _forward_datagrams(
        self, tasks: TaskGroup, route: Route, datagrams: socket.socket
    ) -> None:
        while True:
            await anyio.wait_readable(datagrams)
            data, (host, _) = datagrams.recvfrom(_CHUNK_BYTES)
            source = self._names_by_ip.get(host)
            if source is None:
                continue
            link = self._links.link(source, route.name)
            if not link.is_cut:
                tasks.start_soon(
                    self._send_datagram, source, route, link, data
                )

    async def _send_datagram(
        self, source: str, route: Route, link: Link, data: bytes
    ) -> None:
        await anyio.sleep(link.delay_s)
        # A datagram is dropped if the socket buffer is full.
        with suppress(OSError):
            self._sockets_by_name[source].sendto(
                data, (route.real, self._peer_port)
            )

    async def _forward_peer_stream(
        self, stream: SocketStream, route: Route
    ) -> None:
        source = find_port_owner(
            cast("_Address", stream.extra(SocketAttribute.remote_address)),
            cast("_Address", stream.extra(SocketAttribute.local_address)),
            self._pids(),
        )
        async with stream:
            if source is not None:
                await self._forward_stream(
                    stream, source, route.name, route.real, self._peer_port
                )

    async def _forward_log_stream(
        self, stream: SocketStream, route: Route
    ) -> None:
        async with stream:
            await self._forward_stream(
                stream, route.name, LOG, self._log_host, self._log_port
            )

    async def _forward_stream(
        self,
        stream: SocketStream,
        source: str,
        target: str,
        host: str,
        port: int,
    ) -> None:
        forward_link = self._links.link(source, target)
        return_link = self._links.link(target, source)
        await forward_link.wait_open()
        try:
            upstream = await anyio.connect_tcp(host, port)
        except OSError:
            return
        state = RelayedStream(target)
        self._streams.add(state)
        try:
            async with upstream, anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _copy_bytes, stream, upstream, forward_link, state, tasks
                )
                tasks.start_soon(
                    _copy_bytes, upstream, stream, return_link, state, tasks
                )
        finally:
            self._streams.discard(state)


async def _copy_bytes(
    source: SocketStream,
    target: SocketStream,
    link: Link,
    state: RelayedStream,
    tasks: TaskGroup,
) -> None:
    """Copy bytes until either side closes, then cancel the tasks."""
    try:
        while True:
            data = await source.receive(_CHUNK_BYTES)
            await link.wait_open()
            if not state.is_silent:
                await target.send(data)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        # A cut link delays the end of the connection as well.
        await link.wait_open()
    tasks.cancel_scope.cancel()
