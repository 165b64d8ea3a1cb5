"""The receiving direction of a machine's slow network link."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    _Address = tuple[str, int]

_CHUNK_BYTES = 16 * 1024
_WINDOW_BYTES = 256 * 1024
"""What a TCP sender may have under way on one connection."""


class Downlink:
    """
    Delivers what all senders send, first in, first out, at a rate.

    :param bytes_per_s: the rate.
    :ivar delivered_bytes: bytes delivered so far.
    """

    __slots__ = ("_bytes_per_s", "_free_at", "_loop", "delivered_bytes")

    def __init__(self, bytes_per_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.delivered_bytes = 0

    @property
    def delay_s(self) -> float:
        """Seconds until what is under way now has been delivered."""
        return max(self._free_at - self._loop.time(), 0.0)

    async def deliver(self, size: int) -> None:
        """Wait until bytes sent now have been delivered."""
        start = max(self._free_at, self._loop.time())
        self._free_at = start + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - self._loop.time())
        self.delivered_bytes += size

    @asynccontextmanager
    async def open_port(
        self, listen: _Address, target: _Address, *, replies: bool = False
    ) -> AsyncIterator[None]:
        """
        Forward TCP connections until the context exits.

        :param listen: address to accept connections at.
        :param target: address to connect to.
        :param replies: whether what the target sends is delivered to
            the machine, rather than what it is sent.
        """

        async def forward(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with suppress(OSError, asyncio.CancelledError):
                other = await asyncio.open_connection(*target)
                await self._forward((reader, writer), other, replies=replies)
            writer.close()

        server = await asyncio.start_server(forward, *listen)
        try:
            yield
        finally:
            server.close()

    @asynccontextmanager
    async def open_datagram_port(
        self, listen: _Address, target: _Address
    ) -> AsyncIterator[None]:
        """Forward datagrams to the machine until the context exits."""
        loop = self._loop
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramForwarder(self, target), local_addr=listen
        )
        try:
            yield
        finally:
            transport.close()

    async def _forward(
        self,
        caller: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        *,
        replies: bool,
    ) -> None:
        copies = {
            asyncio.create_task(
                self._copy(caller[0], target[1], is_slow=not replies)
            ),
            asyncio.create_task(
                self._copy(target[0], caller[1], is_slow=replies)
            ),
        }
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copies:
                task.cancel()
            target[1].close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_slow: bool,
    ) -> None:
        under_way = asyncio.Semaphore(_WINDOW_BYTES // _CHUNK_BYTES)
        last: asyncio.Task[None] | None = None
        with suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if not is_slow:
                    writer.write(data)
                    continue
                await under_way.acquire()
                last = asyncio.create_task(
                    self._deliver(data, writer, under_way)
                )
        if last is not None:
            await last

    async def _deliver(
        self,
        data: bytes,
        writer: asyncio.StreamWriter,
        under_way: asyncio.Semaphore,
    ) -> None:
        await self.deliver(len(data))
        under_way.release()
        with suppress(OSError):
            writer.write(data)


class _DatagramForwarder(asyncio.DatagramProtocol):
    """Delivers datagrams behind all else that is under way."""

    def __init__(self, link: Downlink, target: _Address) -> None:
        self._link = link
        self._target = target
        self._transport: Any = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ARG002
        task = asyncio.create_task(self._deliver(data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, data: bytes) -> None:
        await self._link.deliver(len(data))
        if not self._transport.is_closing():
            self._transport.sendto(data, self._target)
