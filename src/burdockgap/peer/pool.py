"""Connections to peers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from burdockgap.peer.address import split_address
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

_PROBE_TIMEOUT_S = 0.4
_KEEPALIVE_TIMEOUT_S = 1.0
_SILENCE_S = 0.3
_CHECK_TIMEOUT_S = 0.6

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

    A connection that was idle for longer than the keepalive time is
    probed before it carries a request, since something between the two
    ends may have dropped it without a word. One that stays silent
    while requests wait on it is probed as well, and closed if that
    fails, so that they don't wait for an answer that can't come.

    :param auth: proof added to each call.
    :param clock: source of elapsed time.
    :param metrics: counters.
    :param keepalive_s: seconds of silence before a ping.
    """

    __slots__ = ("_auth", "_clock", "_conns", "_keepalive_s", "_metrics")

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

    async def call(
        self, address: str, method: Method, msg: Message, timeout_s: float
    ) -> Message:
        """
        Make a unary call.

        :param address: the peer's ``ip:port``.
        :raises OSError: or another of ``PEER_ERRORS``.
        """
        with anyio.fail_after(timeout_s):
            conn = await self.connection(address)
            return await self._unary(conn, method, msg, timeout_s)

    async def connection(self, address: str) -> Connection:
        """Return a connection that is fresh or was seen working."""
        conn = self._conns.get(address) or self._open(address)
        idle_s = self._clock.now() - conn.last_used
        if conn.proved and idle_s < self._keepalive_s:
            return conn
        return await self._probe(address, conn)

    def answered(self, conn: Connection) -> None:
        """Note that the peer answered a forwarded request."""
        conn.mark_used(self._clock.now())

    async def watch(self) -> None:
        """Close connections that leave requests waiting, for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(_SILENCE_S)
                for address, conn in self._silent():
                    conn.is_checked = True
                    tasks.start_soon(self._check, address, conn)

    def _silent(self) -> list[tuple[str, Connection]]:
        before = self._clock.now() - _SILENCE_S
        return [
            (address, conn)
            for address, conn in self._conns.items()
            if conn.pending and not conn.is_checked and conn.last_used < before
        ]

    async def _check(self, address: str, conn: Connection) -> None:
        try:
            await self._unary(conn, PING, Ping(), _CHECK_TIMEOUT_S)
        except PEER_ERRORS:
            self._metrics.peer_connections_replaced.inc()
            if self._conns.get(address) is conn:
                self.drop(address)
        finally:
            conn.is_checked = False

    def drop(self, address: str) -> None:
        """Close the connection to a peer; the next call opens one."""
        conn = self._conns.pop(address, None)
        if conn is not None:
            conn.channel.close()

    def keep(self, addresses: set[str]) -> None:
        """Close the connections to all other peers."""
        for address in set(self._conns) - addresses:
            self.drop(address)

    def close(self) -> None:
        """Close all connections."""
        self.keep(set())

    def _open(self, address: str) -> Connection:
        host, port = split_address(address)
        cfg = Configuration(
            _keepalive_time=self._keepalive_s,
            _keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
            _keepalive_permit_without_calls=False,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=1.0,
        )
        channel = Channel(host, port, codec=PeerCodec(), config=cfg)
        conn = Connection(channel, self._auth.metadata(), self._clock.now())
        self._conns[address] = conn
        return conn

    async def _probe(self, address: str, conn: Connection) -> Connection:
        was_proved = conn.proved
        try:
            await self._unary(conn, PING, Ping(), _PROBE_TIMEOUT_S)
        except PEER_ERRORS:
            self.drop(address)
            if not was_proved:
                raise
            self._metrics.peer_connections_replaced.inc()
            conn = self._open(address)
            await self._unary(conn, PING, Ping(), _PROBE_TIMEOUT_S)
        return conn

    async def _unary(
        self, conn: Connection, method: Method, msg: Message, timeout_s: float
    ) -> Message:
        unary: UnaryUnaryMethod[Message, Message] = UnaryUnaryMethod(
            conn.channel, method.path, method.request, method.reply
        )
        with anyio.fail_after(timeout_s):
            reply = await unary(msg, metadata=conn.metadata)
        conn.mark_used(self._clock.now())
        return reply


@contextmanager
def open_pool(
    *, auth: PeerAuth, clock: Clock, metrics: Metrics, keepalive_s: float
) -> Iterator[PeerPool]:
    """Own a pool and close its connections at the end."""
    pool = PeerPool(
        auth=auth, clock=clock, metrics=metrics, keepalive_s=keepalive_s
    )
    try:
        yield pool
    finally:
        pool.close()
