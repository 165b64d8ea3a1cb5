"""A server that closes connections when its memory is used up."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from burdockgap.http1.response import Response
from burdockgap.resources.memory_budget import MemoryBudget
from tests.http1.sockets import open_http_server, read_head

pytestmark = pytest.mark.anyio

_BODY_BYTES = 10_000_000
"""More than the kernel buffers for one connection."""
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def answer_large(_req):
    return Response(200, body=b"x" * _BODY_BYTES)


async def open_unread(address, count):
    """Return sockets that request a response and do not read it."""
    loop = asyncio.get_running_loop()
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, REQUEST)
        sockets.append(sock)
    return sockets


async def test_reader_outlives_those_that_do_not_read():
    """A response must not be cut for a client that reads."""
    budget = MemoryBudget(3 * _BODY_BYTES)
    shed = []
    async with open_http_server(
        answer_large, budget=budget, on_shed=lambda *what: shed.append(what)
    ) as (server, reader, writer):
        budget.on_full = server.free_memory
        address = writer.get_extra_info("peername")[:2]
        sockets = await open_unread(address, 3)
        # What the kernel took at first must be out of the window.
        await asyncio.sleep(1.8)
        writer.write(REQUEST)
        async with asyncio.timeout(10):
            assert b"200" in await read_head(reader)
            assert len(await reader.readexactly(_BODY_BYTES)) == _BODY_BYTES
            sockets += await open_unread(address, 1)
            while len(shed) < 2:
                await asyncio.sleep(0.1)
                writer.write(REQUEST)
                await read_head(reader)
                await reader.readexactly(_BODY_BYTES)
        assert {reason for reason, _, _ in shed} == {"memory"}
        for sock in sockets:
            sock.close()
        writer.close()
        while server.connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert budget.used == 0


async def test_body_that_does_not_fit_is_refused_before_it_is_sent():
    """A caller must learn at once that its request has not run."""
    budget = MemoryBudget(50_000)
    async with open_http_server(answer_large, budget=budget) as (
        _,
        reader,
        writer,
    ):
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n")
        async with asyncio.timeout(2):
            head = await read_head(reader)
        assert b"503" in head
        assert b"retry-after" in head.lower()


async def test_idle_connection_makes_way_for_a_new_one():
    """Clients that only connect must not keep others out."""
    async with open_http_server(answer_large, max_connections=1) as (
        server,
        reader,
        writer,
    ):
        await asyncio.sleep(0.05)
        address = writer.get_extra_info("peername")[:2]
        other_reader, other_writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(2):
            assert await other_reader.read() == b""
        assert len(server.connections) == 1
        await asyncio.sleep(1.1)
        _, third_writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(2):
            with suppress(ConnectionError):
                assert await reader.read() == b""
        assert len(server.connections) == 1
        other_writer.close()
        third_writer.close()
