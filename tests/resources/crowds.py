"""Crowds of clients that make a daemon hold memory or descriptors."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

from tests.resources.builders import make_request

_RECEIVE_BUFFER_BYTES = 4096
"""Small, so that the daemon and not the kernel holds what is unread."""
_READ_INTERVAL_S = 1.0
_READ_BYTES = 1024
_SEND_BYTES = 64 * 1024
_SEND_TIMEOUT_S = 4.0


class Crowd:
    """Connections of clients that are kept open by a test."""

    def __init__(self, address):
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._tasks = []
        self.sockets = []

    async def connect(self):
        """Open a connection; return ``None`` if it is refused."""
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        self.sockets.append(sock)
        try:
            async with asyncio.timeout(1.0):
                await self._loop.sock_connect(sock, self._address)
        except (OSError, TimeoutError):
            return None
        return sock

    async def send(self, data):
        """
        Send bytes over a new connection, which stays open.

        It may be refused or closed on the way: a crowd takes what it
        gets.
        """
        sock = await self.connect()
        if sock is None:
            return None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                for start in range(0, len(data), _SEND_BYTES):
                    await self._loop.sock_sendall(
                        sock, data[start : start + _SEND_BYTES]
                    )
        return sock

    def read_slowly(self, sock):
        """Read 1 KiB per second from a connection from now on."""
        self._tasks.append(asyncio.create_task(self._read_slowly(sock)))

    async def _read_slowly(self, sock):
        with suppress(OSError):
            while await self._loop.sock_recv(sock, _READ_BYTES):
                await asyncio.sleep(_READ_INTERVAL_S)

    def close(self):
        for task in self._tasks:
            task.cancel()
        for sock in self.sockets:
            sock.close()


@asynccontextmanager
async def open_crowd(daemon):
    """Yield a crowd at a daemon whose connections close at the end."""
    crowd = Crowd(daemon.callers)
    try:
        yield crowd
    finally:
        crowd.close()
        await asyncio.sleep(0)


async def send_slow_readers(crowd, path, count):
    """Request a response on each connection and read it slowly."""
    for _ in range(count):
        sock = await crowd.send(make_request(path))
        if sock is not None:
            crowd.read_slowly(sock)
        await asyncio.sleep(0.05)


async def send_pipelined(crowd, path, count, depth):
    """Send requests on each connection without reading responses."""
    for _ in range(count):
        await crowd.send(b"".join(make_request(path) for _ in range(depth)))
        await asyncio.sleep(0.1)


async def send_unfinished_heads(crowd, count, size):
    """Send a head on each connection without its end."""
    head = make_request("/crew/1")[:-2]
    filler = b"x: " + b"y" * 1000 + b"\r\n"
    head += filler * ((size - len(head)) // len(filler))
    await _send_at_once(crowd, head, count)


async def send_unfinished_bodies(crowd, count, size, chunk_size):
    """Send a body in chunks on each connection without its end."""
    head = make_request(
        "/upload/1",
        method="DELETE",
        headers=[("Transfer-Encoding", "chunked")],
    ).replace(b"DELETE", b"POST", 1)
    chunk = b"%x\r\n%s\r\n" % (chunk_size, b"z" * chunk_size)
    await _send_at_once(crowd, head + chunk * (size // chunk_size), count)


async def send_bodies(crowd, path, count, size):
    """Send a request with a whole body on each connection."""
    head = make_request(
        path, method="DELETE", headers=[("Content-Length", str(size))]
    ).replace(b"DELETE", b"POST", 1)
    await _send_at_once(crowd, head + b"z" * size, count)


async def open_idle_connections(crowd, count):
    """Open connections without sending anything."""
    for start in range(0, count, 50):
        await asyncio.gather(
            *(crowd.connect() for _ in range(min(50, count - start)))
        )


async def _send_at_once(crowd, data, count):
    for start in range(0, count, 50):
        await asyncio.gather(
            *(crowd.send(data) for _ in range(min(50, count - start)))
        )
