"""The HTTP server that callers connect to."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.limits import ConnectionLimits
from burdockgap.http1.response import Response
from tests.http1.sockets import open_http_server, read_head

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Recorder:
    """Records requests and returns their bodies in the responses."""

    def __init__(self):
        self.requests = []

    async def answer(self, req):
        self.requests.append(req)
        return Response(200, [("x-id", "1")], b"<" + req.body + b">")


async def test_body_in_chunks_is_joined():
    recorder = Recorder()
    async with open_http_server(recorder.answer) as (_, reader, writer):
        writer.write(
            b"POST /a?b=%20 HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert b"200 OK" in await read_head(reader)
        assert await reader.readexactly(7) == b"<abcde>"
    (req,) = recorder.requests
    assert (req.method, req.target, req.path) == ("POST", "/a?b=%20", "/a")


async def test_pipelined_requests_answered_in_order():
    recorder = Recorder()
    async with open_http_server(recorder.answer) as (_, reader, writer):
        request_format = (
            b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n%d"
        )
        writer.write(b"".join(request_format % (n, n) for n in range(5)))
        for number in range(5):
            await read_head(reader)
            assert await reader.readexactly(3) == b"<%d>" % number


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"NONSENSE\r\n\r\n", b"400", id="no-http"),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3000 + b"\r\n\r\n",
            b"431",
            id="long-headers",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"
            + b"a" * 5000,
            b"413",
            id="long-body",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /x HTTP/1.1\r\n\r\n",
            b"400",
            id="two-lengths",
        ),
    ],
)
async def test_invalid_request_is_refused_and_the_connection_closed(
    data, status
):
    recorder = Recorder()
    statuses = []
    limits = ConnectionLimits(header_bytes=1000, body_bytes=1000)
    async with open_http_server(
        recorder.answer, limits=limits, on_malformed=statuses.append
    ) as (server, reader, writer):
        writer.write(data)
        assert status in await read_head(reader)
        assert statuses == [int(status)]
        await reader.read()
        assert server.buffered_bytes == 0
    assert not recorder.requests


async def test_request_is_cancelled_when_the_caller_disconnects():
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def answer(_req):
        started.set()
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with open_http_server(answer) as (_, _reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await started.wait()
        writer.close()
        async with asyncio.timeout(1):
            await cancelled.wait()


async def test_leaving_server_closes_connections_after_the_response():
    recorder = Recorder()
    async with open_http_server(recorder.answer) as (server, reader, writer):
        server.leaving = True
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"connection: close" in await read_head(reader)
        assert await reader.read() == b"<>"


async def test_exception_of_the_handler_gives_500():
    async def answer(_req):
        raise RuntimeError("a fault")

    async with open_http_server(answer) as (_, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"500" in await read_head(reader)


async def test_idle_connection_is_closed():
    recorder = Recorder()
    limits = ConnectionLimits(idle_timeout_s=0.1)
    async with open_http_server(recorder.answer, limits=limits) as (
        _,
        reader,
        _writer,
    ):
        async with asyncio.timeout(3):
            assert await reader.read() == b""


async def test_expect_header_gets_100_continue():
    recorder = Recorder()
    async with open_http_server(recorder.answer) as (_, reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: 1\r\n\r\n"
        )
        assert b"100 Continue" in await read_head(reader)
        writer.write(b"x")
        assert b"200 OK" in await read_head(reader)


async def test_request_that_was_read_and_not_started_counts_as_in_flight():
    """A planned stop closed its connection without an answer (LOST)."""
    recorder = Recorder()
    async with open_http_server(recorder.answer) as (server, reader, _):
        while not server.connections:
            await asyncio.sleep(0.01)
        (conn,) = server.connections
        await asyncio.sleep(0.05)
        # The connection's task runs after this iteration of the loop.
        conn.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert server.in_flight == 1
        server.close_idle()
        assert b"200 OK" in await read_head(reader)
