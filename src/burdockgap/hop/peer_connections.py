"""The connections to other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.hop.peer_connection import PeerConnection
from burdockgap.scheduling.opening_timeout import OpeningTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.downlink import Downlink
    from burdockgap.hop.reply_progress import ReplyProgress
    from burdockgap.resources.byte_counter import ByteCounter
    from burdockgap.resources.memory_budget import MemoryBudget
    from burdockgap.uplink import Uplink

    _Address = tuple[str, int]

_CONNECT_TIMEOUT_S = 0.5
"""For requests, which another peer may still serve in time; allows for
a 40 ms round trip between regions and a lost packet."""


class PeerConnections:
    """
    Connections to peers by address, opened on demand.

    :param uplink: paces what is sent over the machine's network link,
        ``None`` where its bandwidth is not a limit.
    :param budget: bounds the incomplete frames of all connections,
        ``None`` for no bound.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    :param downlink: paces what peers send, ``None`` where the bandwidth
        of the machine's link is not a limit.
    :param on_opened: called with the seconds that a connection took to
        open, and whether it did.
    """

    __slots__ = (
        "_budget",
        "_connect_locks",
        "_connections",
        "_counter",
        "_downlink",
        "_loop",
        "_on_opened",
        "_opening_timeout",
        "_rtts_s",
        "_uplink",
    )

    def __init__(
        self,
        uplink: Uplink | None = None,
        budget: MemoryBudget | None = None,
        counter: ByteCounter | None = None,
        downlink: Downlink | None = None,
        on_opened: Callable[[float, bool], None] = lambda *_: None,
    ) -> None:
        self._counter = counter
        self._downlink = downlink
        self._on_opened = on_opened
        self._opening_timeout = OpeningTimeout()
        self._rtts_s: dict[_Address, float] = {}
        self._budget = budget
        self._loop = asyncio.get_running_loop()
        self._uplink = uplink
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._connect_locks: dict[tuple[str, int], asyncio.Lock] = {}

    async def call(
        self,
        address: tuple[str, int],
        kind: int,
        payload: Any,
        *,
        max_wait_s: float | None = None,
    ) -> Any:
        """
        Call a peer and return the payload of its reply.

        :param address: the peer's host and port.
        :param kind: a number of :mod:`burdockgap.hop.call_kinds`.
        :param payload: any value that msgpack can encode.
        :param max_wait_s: how long a long call may wait for the peer's
            link, in seconds; ``None`` for no limit.
        :raises PeerCallError: if no reply is received.
        """
        conn = self._connections.get(address)
        if conn is None or conn.lost:
            conn = await self._open(address)
        return await conn.call(kind, payload, max_wait_s)

    async def call_once(
        self,
        address: tuple[str, int],
        kind: int,
        payload: Any,
        *,
        progress: ReplyProgress | None = None,
    ) -> Any:
        """
        Call a peer over a connection of its own.

        For rare calls that must not wait until an open connection that
        has fallen silent is noticed. The other parameters and the
        errors are those of :meth:`call`.

        :param progress: notes when bytes of the reply arrive.
        """
        conn = await self._connect_patiently(address)
        conn.progress = progress
        try:
            return await conn.call(kind, payload)
        finally:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()

    async def _open(self, address: tuple[str, int]) -> PeerConnection:
        async with self._connect_locks.setdefault(address, asyncio.Lock()):
            conn = self._connections.get(address)
            if conn is not None and not conn.lost:
                return conn
            conn = await self._connect(address, _CONNECT_TIMEOUT_S)
            self._connections[address] = conn
            return conn

    async def _connect_patiently(
        self, address: tuple[str, int]
    ) -> PeerConnection:
        """Open a connection, if need be one that takes long to open."""
        timeout = self._opening_timeout
        began = self._loop.time()
        try:
            conn = await self._connect(address, timeout.seconds)
        except PeerCallError as exc:
            if isinstance(exc.__cause__, TimeoutError):
                timeout.expired()
            raise
        timeout.opened(self._loop.time() - began)
        conn.silence_timeout_s = max(conn.silence_timeout_s, timeout.seconds)
        return conn

    async def _connect(
        self, address: tuple[str, int], timeout_s: float
    ) -> PeerConnection:
        began = self._loop.time()
        is_open = False
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await self._loop.create_connection(
                    lambda: PeerConnection(
                        self._loop,
                        self._uplink,
                        self._budget,
                        self._counter,
                        self._downlink,
                    ),
                    *address,
                )
            is_open = True
            took_s = self._loop.time() - began
            # A longer opening includes waits in queues.
            conn.rtt_s = min(took_s, self._rtts_s.get(address, took_s))
            self._rtts_s[address] = conn.rtt_s
        except (OSError, TimeoutError) as exc:
            detail = f"connecting to the peer failed: {exc!r}"
            raise PeerCallError(detail, sent=False) from exc
        finally:
            self._on_opened(self._loop.time() - began, is_open)
        return conn
