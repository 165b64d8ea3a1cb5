"""The calling side of a connection between two daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    PART,
    PING,
    REPLY,
    FrameBuffer,
    FrameError,
    encode_frame,
)
from burdockgap.hop.peer_call_error import PeerCallError

if TYPE_CHECKING:
    from burdockgap.uplink import Uplink

_CONNECT_TIMEOUT_S = 0.5
"""Above a round trip between regions, 40 ms, and one lost packet."""
_CHECK_S = 0.2
_PING_AFTER_S = 0.3
_SILENT_AFTER_S = 0.9
"""Three pings of a live peer would have been answered by then."""


class PeerConnection(asyncio.Protocol):
    """
    Calls to one peer over one connection, any number at a time.

    A connection on which a live peer stays silent is replaced:
    something between the two ends may have lost track of it.

    :param loop: the event loop.
    :param uplink: what the machine sends, ``None`` where its link is no
        limit.
    """

    __slots__ = (
        "_buffer",
        "_calls",
        "_checker",
        "_heard_at",
        "_loop",
        "_next_id",
        "_parts",
        "_transport",
        "_uplink",
        "lost",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, uplink: Uplink | None = None
    ) -> None:
        self._loop = loop
        self._uplink = uplink
        self._parts: dict[int, FrameBuffer] = {}
        self._buffer = FrameBuffer()
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next_id = 0
        self._transport: asyncio.Transport | None = None
        self._heard_at = loop.time()
        self._checker: asyncio.TimerHandle | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's own transports are of no common base class.
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all calls."""
        self._fail(f"the connection to the peer was lost: {exc or 'EOF'}")

    def data_received(self, data: bytes) -> None:
        """Deliver replies."""
        self._heard_at = self._loop.time()
        try:
            for frame in self._buffer.feed(data):
                self._take(frame)
        except (FrameError, IndexError) as exc:
            self._fail(f"the peer's reply cannot be read: {exc}")

    def _take(self, frame: list[Any]) -> None:
        number = frame[1] if len(frame) > 1 else 0
        if number not in self._calls:
            return
        if frame[0] == PART:
            buffer = self._parts.setdefault(number, FrameBuffer())
            for whole in buffer.feed(frame[2]):
                self._take(whole)
        elif frame[0] == REPLY:
            fut = self._calls.pop(number)
            if not fut.done():
                fut.set_result(frame[2])

    async def call(self, kind: int, payload: Any) -> Any:
        """
        Send a call and return the reply's payload.

        Cancelling the call cancels it at the peer.

        :raises LinkError: if the connection is lost or silent.
        """
        if self.lost or self._transport is None:
            raise PeerCallError(
                "the connection to the peer is closed", sent=False
            )
        self._next_id += 1
        number = self._next_id
        if not self._calls:
            self._heard_at = self._loop.time()
        fut: asyncio.Future[Any] = self._loop.create_future()
        self._calls[number] = fut
        frame = encode_frame(CALL, number, kind, payload)
        if self._uplink is not None:
            self._uplink.count(len(frame))
        self._transport.write(frame)
        self._watch()
        try:
            return await fut
        except asyncio.CancelledError:
            if not self.lost:
                self._transport.write(encode_frame(CANCEL, number))
            raise
        finally:
            self._calls.pop(number, None)
            self._parts.pop(number, None)

    def close(self) -> None:
        """Close the connection at once."""
        self._fail("the connection was closed")

    def _watch(self) -> None:
        if self._checker is None:
            self._checker = self._loop.call_later(_CHECK_S, self._check)

    def _check(self) -> None:
        self._checker = None
        if not self._calls or self.lost:
            return
        quiet_s = self._loop.time() - self._heard_at
        if quiet_s > _SILENT_AFTER_S:
            self._fail("the peer is silent")
            return
        if quiet_s > _PING_AFTER_S and self._transport is not None:
            self._transport.write(encode_frame(PING))
        self._watch()

    def _fail(self, detail: str) -> None:
        self.lost = True
        if self._transport is not None:
            self._transport.abort()
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            if not fut.done():
                fut.set_exception(PeerCallError(detail, sent=True))


class PeerConnections:
    """
    Connections to peers by address, opened when first used.

    :param uplink: what the machine sends, ``None`` where its link is no
        limit.
    """

    __slots__ = ("_peer_connections", "_locks", "_loop", "_uplink")

    def __init__(self, uplink: Uplink | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self._uplink = uplink
        self._peer_connections: dict[tuple[str, int], PeerConnection] = {}
        self._locks: dict[tuple[str, int], asyncio.Lock] = {}

    async def call(
        self, address: tuple[str, int], kind: int, payload: Any
    ) -> Any:
        """
        Call a peer.

        :raises LinkError: if it does not reply.
        """
        link = self._peer_connections.get(address)
        if link is None or link.lost:
            link = await self._open(address)
        return await link.call(kind, payload)

    def close(self) -> None:
        """Close all connections."""
        for link in self._peer_connections.values():
            link.close()
        self._peer_connections.clear()

    async def _open(self, address: tuple[str, int]) -> PeerConnection:
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._peer_connections.get(address)
            if link is not None and not link.lost:
                return link
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    _, link = await self._loop.create_connection(
                        lambda: PeerConnection(self._loop, self._uplink),
                        *address,
                    )
            except (OSError, TimeoutError) as exc:
                detail = f"connecting to the peer failed: {exc!r}"
                raise PeerCallError(detail, sent=False) from exc
            self._peer_connections[address] = link
            return link
