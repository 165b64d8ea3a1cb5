"""Connections to peers."""

from __future__ import annotations

from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import anyio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from loguru import logger

from burdockgap.peer.address import split_address
from burdockgap.peer.cancel_count import restored_cancel_count
from burdockgap.peer.codec import PeerCodec
from burdockgap.peer.connection import Connection
from burdockgap.peer.messages.ping import Ping
from burdockgap.peer.method import PING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.clock import Clock
    from burdockgap.metrics import Metrics
    from burdockgap.peer.auth import PeerAuth
    from burdockgap.peer.method import Method
    from burdockgap.wire import Message

_PROBE_TIMEOUT_S = 0.2
_CONNECT_TIMEOUT_S = 1.0
_WATCH_INTERVAL_S = 0.2
_SILENCE_TIMEOUT_S = 0.4
_CONFIRM_TIMEOUT_S = 0.8

PEER_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
)
"""What a call to a peer raises when the peer cannot be reached."""


class PeerPool:
    """
    One connection to each peer that is called, opened on first use.

    A network device may drop a connection without closing it. An idle
    connection is therefore probed before a request uses it if nothing
    was received on it for the keepalive time, and a connection with
    requests is probed when nothing was received on it for 0.4 s. New
    requests use another connection if the probe fails. The requests on
    the silent connection fail if it does not answer a second probe
    either, which is sent once the peer has answered on another
    connection or has failed to for longer than a lease. A peer that is
    only slow answers the probes and keeps its requests.

    :param auth: adds the proof of the secret to each call.
    :param clock: source of elapsed time.
    :param metrics: counters.
    :param keepalive_s: seconds without activity before a probe.
    """

    __slots__ = (
        "_auth",
        "_busy_conns",
        "_clock",
        "_conns",
        "_keepalive_s",
        "_locks",
        "_metrics",
    )

    def __init__(
        self,
        *,
        auth: PeerAuth,
        clock: Clock,
        metrics: Metrics,
        keepalive_s: float,
    ) -> None:
        self._auth = auth
        self._clock = clock
        self._metrics = metrics
        self._keepalive_s = keepalive_s
        self._conns: dict[str, Connection] = {}
        self._locks: dict[str, anyio.Lock] = {}
        self._busy_conns: dict[Connection, str] = {}

    async def call(
        self, address: str, method: Method, msg: Message, timeout_s: float
    ) -> Message:
        """
        Make a unary call.

        :param address: the peer's ``ip:port``.
        :param method: the method.
        :param msg: the request.
        :param timeout_s: timeout, including the connection's, in
            seconds.
        :raises OSError: or another of ``PEER_ERRORS``.
        """
        with anyio.fail_after(timeout_s):
            conn = await self.connection(address)
            return await self._unary(conn, method, msg, timeout_s)

    async def connection(self, address: str) -> Connection:
        """
        Return a connection that has been active or probed recently.

        :raises OSError: or another of ``PEER_ERRORS``.
        """
        conn = self._conns.get(address)
        if conn is not None and self._is_fresh(conn):
            return conn
        async with self._locks.setdefault(address, anyio.Lock()):
            return await self._probe_or_open(address)

    @contextmanager
    def stream(self, conn: Connection, address: str) -> Iterator[None]:
        """Monitor a connection while a request uses it."""
        with conn.stream():
            self._busy_conns[conn] = address
            try:
                yield
            finally:
                if conn.active_streams == 1:
                    del self._busy_conns[conn]

    def record_activity(self, conn: Connection) -> None:
        """Record that the peer has responded on a connection."""
        conn.record_activity(self._clock.now())

    def keep(self, addresses: set[str]) -> None:
        """Close the connections to all other peers when unused."""
        for address in set(self._conns) - addresses:
            self._conns.pop(address).retire()
            self._locks.pop(address, None)

    def close(self) -> None:
        """Close all connections."""
        for conn in {*self._conns.values(), *self._busy_conns}:
            conn.close()
        self._conns.clear()

    async def watch(self) -> None:
        """Probe silent connections with requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            being_probed: set[Connection] = set()
            while True:
                await anyio.sleep(_WATCH_INTERVAL_S)
                for conn, address in list(self._busy_conns.items()):
                    if conn in being_probed or not self._is_silent(conn):
                        continue
                    being_probed.add(conn)
                    tasks.start_soon(
                        self._probe_silent, conn, address, being_probed
                    )

    async def _probe_silent(
        self, conn: Connection, address: str, being_probed: set[Connection]
    ) -> None:
        """Close a silent connection unless it answers a probe."""
        try:
            if await self._answers_ping(conn):
                return
            with suppress(*PEER_ERRORS), anyio.fail_after(_CONFIRM_TIMEOUT_S):
                await self.connection(address)
            if await self._answers_ping(conn):
                return
            if conn.active_streams:
                logger.warning(
                    "connection to {} does not respond; closing it", address
                )
                conn.close()
        finally:
            being_probed.discard(conn)

    async def _answers_ping(self, conn: Connection) -> bool:
        try:
            await self._unary(conn, PING, Ping(), _SILENCE_TIMEOUT_S)
        except PEER_ERRORS:
            return False
        return True

    def _is_fresh(self, conn: Connection) -> bool:
        idle_s = self._clock.now() - conn.last_activity_at
        if not conn.verified:
            return False
        return idle_s < (
            _SILENCE_TIMEOUT_S if conn.active_streams else self._keepalive_s
        )

    def _is_silent(self, conn: Connection) -> bool:
        return self._clock.now() - conn.last_activity_at > _SILENCE_TIMEOUT_S

    def _open(self, address: str) -> Connection:
        host, port = split_address(address)
        channel = Channel(host, port, codec=PeerCodec())
        conn = Connection(channel, self._auth.metadata(), self._clock.now())
        self._conns[address] = conn
        return conn

    async def _probe_or_open(self, address: str) -> Connection:
        """
        Probe the connection to a peer, or open another.

        It is not probed if another task has just done so.
        """
        conn = self._conns.get(address)
        if conn is not None and self._is_fresh(conn):
            return conn
        if conn is not None:
            try:
                await self._unary(conn, PING, Ping(), _PROBE_TIMEOUT_S)
                return conn
            except PEER_ERRORS:
                self._discard(address, conn)
                self._metrics.peer_connections_replaced.inc()
        conn = self._open(address)
        try:
            await self._unary(conn, PING, Ping(), _CONNECT_TIMEOUT_S)
        except BaseException:
            self._discard(address, conn)
            raise
        return conn

    def _discard(self, address: str, conn: Connection) -> None:
        if self._conns.get(address) is conn:
            del self._conns[address]
        conn.retire()

    async def _unary(
        self, conn: Connection, method: Method, msg: Message, timeout_s: float
    ) -> Message:
        unary: UnaryUnaryMethod[Message, Message] = UnaryUnaryMethod(
            conn.channel, method.path, method.request, method.reply
        )
        with anyio.fail_after(timeout_s), restored_cancel_count():
            reply = await unary(msg, metadata=conn.metadata)
        conn.record_activity(self._clock.now())
        return reply


@contextmanager
def open_pool(
    *, auth: PeerAuth, clock: Clock, metrics: Metrics, keepalive_s: float
) -> Iterator[PeerPool]:
    """Open a pool and close its connections when the block ends."""
    pool = PeerPool(
        auth=auth, clock=clock, metrics=metrics, keepalive_s=keepalive_s
    )
    try:
        yield pool
    finally:
        pool.close()
