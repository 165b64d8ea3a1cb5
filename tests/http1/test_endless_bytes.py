"""Callers and servers that send without end, or stall."""

from __future__ import annotations

import asyncio
import tracemalloc
from contextlib import asynccontextmanager

import pytest

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.resources.memory_budget import MemoryBudget
from tests.http1.sockets import (
    open_http_server,
    open_scripted_server,
    read_head,
)

pytestmark = pytest.mark.anyio

REQUEST = encode_request("GET", "/", [("host", "h")])
MAX_SENT_BYTES = 32 * 1024 * 1024


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EndlessServer:
    """Sends a beginning, then one part over and over until closed."""

    def __init__(self, beginning, part):
        self.beginning = beginning
        self.part = part
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def run(self, reader, writer):
        await read_head(reader)
        writer.write(self.beginning)
        block = self.part * max(65536 // len(self.part), 1)
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
        except OSError:
            self.closed.set()

    @asynccontextmanager
    async def open_pool(self, **limits):
        limits = {"header_bytes": 10_000, "body_bytes": 100_000, **limits}
        async with open_scripted_server(self.run) as address:
            yield ClientPool(
                address[:2],
                connect_timeout_s=1.0,
                idle_s=5.0,
                limits=ResponseLimits(**limits),
            )


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("beginning", "part", "detail"),
    [
        pytest.param(HEAD + b"x: ", b"a", "besides its body", id="header"),
        pytest.param(HEAD + b"a", b"a", None, id="header-name"),
        pytest.param(
            b"HTTP/1.1 200 ", b"a", "besides its body", id="status-line"
        ),
        pytest.param(HEAD, b"a: b\r\n", "headers", id="headers"),
        pytest.param(
            b"",
            b"HTTP/1.1 102 Processing\r\n\r\n",
            "besides its body",
            id="interim-responses",
        ),
        pytest.param(HEAD + b"\r\n", b"a", "body exceeds", id="until-close"),
        pytest.param(
            HEAD + b"content-length: 90000000000\r\n\r\n",
            b"a",
            "body exceeds",
            id="length",
        ),
        pytest.param(
            HEAD + b"transfer-encoding: chunked\r\n\r\n",
            b"4\r\nabcd\r\n",
            "body exceeds",
            id="chunks",
        ),
        pytest.param(
            HEAD + b"transfer-encoding: chunked\r\n\r\n4;",
            b"a",
            None,
            id="chunk-extension",
        ),
        pytest.param(
            HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\nx: ",
            b"a",
            "besides its body",
            id="trailer",
        ),
        pytest.param(b"", b"\x00\xff", "not valid HTTP", id="no-http"),
        pytest.param(b"", b"\r\n", "besides its body", id="empty-lines"),
    ],
)
async def test_response_without_end_is_given_up(beginning, part, detail):
    server = EndlessServer(beginning, part)
    async with server.open_pool() as pool, asyncio.timeout(5):
        with pytest.raises(ExchangeError, match=detail) as caught:
            await pool.exchange(REQUEST)
        assert caught.value.sent
        await server.closed.wait()
    # What the sockets between the two take is not read.
    assert server.sent_bytes < MAX_SENT_BYTES / 2


# LOST: a trailer without end after a large body was kept in the parser,
# up to eight times the size of the body; the process ran out of memory.
async def test_trailer_without_end_after_a_large_body_is_given_up():
    body = b"b" * 2_000_000
    beginning = (
        HEAD
        + b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(body)
        + body
        + b"\r\n0\r\nx: "
    )
    server = EndlessServer(beginning, b"a")
    limits = {"body_bytes": 4_000_000}
    async with server.open_pool(**limits) as pool, asyncio.timeout(10):
        tracemalloc.start()
        with pytest.raises(ExchangeError, match="besides its body"):
            await pool.exchange(REQUEST)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await server.closed.wait()
    assert peak < 4 * len(body)


async def test_responses_share_the_memory_budget():
    budget = MemoryBudget(1_000_000)
    server = EndlessServer(HEAD + b"content-length: 90000000000\r\n\r\n", b"a")
    limits = {"body_bytes": 64 * 1024 * 1024, "budget": budget}
    async with server.open_pool(**limits) as pool, asyncio.timeout(5):
        exchanges = [pool.exchange(REQUEST) for _ in range(4)]
        results = await asyncio.gather(*exchanges, return_exceptions=True)
    assert all("memory limit" in str(error) for error in results)
    assert budget.used == 0


async def test_budget_is_free_again_after_a_response():
    budget = MemoryBudget(1_000_000)

    async def script(reader, writer):
        while await read_head(reader):
            writer.write(
                HEAD + b"content-length: 900000\r\n\r\n" + b"a" * 900_000
            )

    async with open_scripted_server(script) as address:
        pool = ClientPool(
            address[:2],
            connect_timeout_s=1.0,
            idle_s=5.0,
            limits=ResponseLimits(budget=budget),
        )
        for _ in range(3):
            response = await pool.exchange(REQUEST)
            assert len(response.body) == 900_000
            assert budget.used == 900_000
            del response
            # The event loop refers to it until this step ends.
            await asyncio.sleep(0)
            assert budget.used == 0
        pool.close()


async def test_response_that_begins_early_is_not_taken_for_the_next_one():
    """The rest of a second copy arrives after the next request."""

    async def script(reader, writer):
        await read_head(reader)
        answer = HEAD + b"content-length: 2\r\n\r\nok"
        writer.write(answer + answer[:10])
        await read_head(reader)
        writer.write(answer[10:])

    async with open_scripted_server(script) as address:
        pool = ClientPool(address[:2], connect_timeout_s=1.0, idle_s=5.0)
        assert (await pool.exchange(REQUEST)).body == b"ok"
        assert not pool.has_idle


async def answer_ok(_req):
    return Response(200)


@pytest.mark.parametrize(
    ("beginning", "part", "status"),
    [
        pytest.param(b"GET /", b"a", b"431", id="target"),
        pytest.param(b"GET / HTTP/1.1\r\nx: ", b"a", b"431", id="header"),
        pytest.param(b"GET / HTTP/1.1\r\n", b"a", b"431", id="header-name"),
        pytest.param(b"GET / HTTP/1.1\r\n", b"a: b\r\n", b"431", id="headers"),
        pytest.param(
            b"POST / HTTP/1.1\r\ncontent-length: 90000000000\r\n\r\n",
            b"a",
            b"413",
            id="length",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"4\r\nabcd\r\n",
            b"413",
            id="chunks",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ",
            b"a",
            b"431",
            id="trailer",
        ),
    ],
)
async def test_request_without_end_is_refused(beginning, part, status):
    limits = ConnectionLimits(header_bytes=10_000, body_bytes=100_000)
    async with open_http_server(answer_ok, limits=limits) as (
        server,
        reader,
        writer,
    ):
        async with asyncio.timeout(5):
            writer.write(beginning)
            block = part * (65536 // len(part))
            for _ in range(20):
                writer.write(block)
                await asyncio.sleep(0)
            assert status in await read_head(reader)
            assert await reader.read() == b""
        assert server.buffered_bytes == 0


# LOST: the same with a caller's request.
async def test_request_trailer_without_end_after_a_large_body_is_refused():
    body = b"b" * 2_000_000
    limits = ConnectionLimits(header_bytes=10_000, body_bytes=4_000_000)
    async with open_http_server(answer_ok, limits=limits) as (
        server,
        reader,
        writer,
    ):
        async with asyncio.timeout(5):
            writer.write(
                b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                b"%x\r\n" % len(body) + body + b"\r\n0\r\nx: "
            )
            await writer.drain()
            for _ in range(10):
                writer.write(b"a" * 65536)
                await asyncio.sleep(0.01)
            assert b"431" in await read_head(reader)
        assert server.buffered_bytes == 0


async def test_request_that_is_sent_on_after_the_refusal_gets_the_answer():
    """An immediate close would reset the connection."""
    limits = ConnectionLimits(body_bytes=1000)
    async with open_http_server(answer_ok, limits=limits) as (
        _,
        reader,
        writer,
    ):
        writer.write(b"POST / HTTP/1.1\r\ncontent-length: 500000\r\n\r\n")
        for _ in range(50):
            writer.write(b"a" * 10_000)
            await asyncio.sleep(0.002)
        assert b"413" in await read_head(reader)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"GE", id="method"),
        pytest.param(b"GET / HTTP/1.1\r\nHost: h\r\n", id="after-a-header"),
        pytest.param(
            b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", id="body"
        ),
    ],
)
async def test_request_that_stalls_is_refused_as_not_run(data):
    limits = ConnectionLimits(header_timeout_s=0.2, idle_timeout_s=0.3)
    async with open_http_server(answer_ok, limits=limits) as (
        server,
        reader,
        writer,
    ):
        writer.write(data)
        async with asyncio.timeout(4):
            assert b"408" in await read_head(reader)
            assert await reader.read() == b""
        assert server.buffered_bytes == 0


async def test_body_that_is_cut_leaves_nothing_counted():
    async with open_http_server(answer_ok) as (server, _reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\nabc")
        await asyncio.sleep(0.05)
        # The announced length is reserved before the body arrives.
        assert server.buffered_bytes == 9000
        writer.transport.abort()
        await asyncio.sleep(0.05)
        assert server.buffered_bytes == 0


async def test_caller_that_stops_reading_is_disconnected():
    async def answer(_req):
        return Response(200, body=b"x" * 10_000_000)

    limits = ConnectionLimits(idle_timeout_s=0.3)
    async with open_http_server(answer, limits=limits) as (server, _, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.1)
        assert server.in_flight == 1
        async with asyncio.timeout(4):
            while server.connections:
                await asyncio.sleep(0.05)


async def test_tiny_chunks_take_little_more_memory_than_the_body():
    """A list of them took ten times the size of the body."""
    chunks = b"4\r\nabcd\r\n" * 1000

    async def script(reader, writer):
        await read_head(reader)
        writer.write(HEAD + b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(250):
            writer.write(chunks)
            await writer.drain()
        await asyncio.sleep(1)

    async with open_scripted_server(script) as address:
        pool = ClientPool(address[:2], connect_timeout_s=1.0, idle_s=5.0)
        tracemalloc.start()
        exchange = asyncio.create_task(pool.exchange(REQUEST))
        await asyncio.sleep(0.8)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        exchange.cancel()
        assert used < 4 * 1_000_000
