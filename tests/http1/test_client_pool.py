"""Client connections to servers that answer correctly or not."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.recent_ids import RecentIds
from tests.http1.sockets import HOST, open_scripted_server, read_head

pytestmark = pytest.mark.anyio

REQUEST = encode_request("GET", "/", [("host", "h")])
RESPONSE = b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_pool(address, unexpected=None, **options):
    defaults = {"connect_timeout_s": 1.0, "idle_s": 5.0}
    return ClientPool(
        address[:2],
        on_unexpected=(unexpected if unexpected is not None else []).append,
        **{**defaults, **options},
    )


async def test_connection_is_reused():
    async def script(reader, writer):
        while True:
            await read_head(reader)
            writer.write(RESPONSE % b"1")

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        for _ in range(3):
            assert (await pool.exchange(REQUEST)).body == b"ok"
        assert pool.opened == 1
        pool.close()


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
            b"content-length: 2\r\n\r\nok",
            id="close",
        ),
        pytest.param(RESPONSE % b"1" + b"more", id="extra-bytes"),
        pytest.param(RESPONSE % b"1" + RESPONSE % b"1", id="second-answer"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n"
            b"content-length: 2\r\n\r\nok",
            id="keep-alive-ends",
        ),
    ],
)
async def test_connection_is_not_reused(answer):
    async def script(reader, writer):
        await read_head(reader)
        writer.write(answer)
        await asyncio.sleep(1)

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        assert (await pool.exchange(REQUEST)).body == b"ok"
        await asyncio.sleep(0.25)
        assert (await pool.exchange(REQUEST)).body == b"ok"
        assert pool.opened == 2
        pool.close()


async def test_response_to_an_earlier_request_is_skipped():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(RESPONSE % b"old" + RESPONSE % b"new")
        await asyncio.sleep(1)

    unexpected = []
    async with open_scripted_server(script) as address:
        pool = make_pool(address, unexpected)
        response = await pool.exchange(
            REQUEST, accepts=lambda got: got.header("id") == "new"
        )
        assert response.header("id") == "new"
        assert unexpected == ["a response to an earlier request"]
        pool.close()


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", id="cut"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok",
            id="cut-chunks",
        ),
        pytest.param(b"SSH-2.0-x\r\n\r\n", id="no-http"),
    ],
)
async def test_incomplete_response_fails_as_sent(answer):
    async def script(reader, writer):
        await read_head(reader)
        writer.write(answer)

    async with open_scripted_server(script) as address:
        with pytest.raises(ExchangeError) as caught:
            await make_pool(address).exchange(REQUEST)
    assert caught.value.sent


async def test_response_without_length_ends_at_eof():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nok")

    async with open_scripted_server(script) as address:
        assert (await make_pool(address).exchange(REQUEST)).body == b"ok"


async def test_response_without_length_fails_on_reset():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nok")
        await writer.drain()
        await asyncio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async with open_scripted_server(script) as address:
        with pytest.raises(ExchangeError):
            await make_pool(address).exchange(REQUEST)


async def test_interim_response_is_skipped():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + RESPONSE % b"1")
        await asyncio.sleep(1)

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        assert (await pool.exchange(REQUEST)).status == 200
        pool.close()


async def test_refused_connection_fails_as_not_sent():
    async with open_scripted_server(None) as address:
        pass
    with pytest.raises(ExchangeError) as caught:
        await make_pool(address).exchange(REQUEST)
    assert not caught.value.sent
    assert caught.value.refused


async def test_cancelled_exchange_closes_the_connection():
    closed = asyncio.Event()

    async def script(reader, _writer):
        await read_head(reader)
        await reader.read()
        closed.set()

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await pool.exchange(REQUEST)
        async with asyncio.timeout(1):
            await closed.wait()


async def test_encoded_request_has_the_content_length():
    data = encode_request("POST", "/a", [("host", HOST)], b"xyz")
    assert data.endswith(b"content-length: 3\r\n\r\nxyz")
    assert b"content-length: 0" in encode_request("POST", "/a", [])
    assert b"content-length" not in encode_request("GET", "/a", [])


async def test_slow_response_within_the_read_timeout_is_read():
    """All of the operators' documents may take long on a slow link."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n")
        for _ in range(8):
            await asyncio.sleep(0.05)
            writer.write(b"x")

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        response = await pool.exchange(REQUEST, read_timeout_s=0.2)
        assert response.body == b"x" * 8
        pool.close()


async def test_stalled_response_fails_with_the_read_timeout():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nx")
        await asyncio.sleep(5)

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        with pytest.raises(
            ExchangeError, match=r"received nothing for 0\.2 s"
        ):
            await pool.exchange(REQUEST, read_timeout_s=0.2)
        pool.close()


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 0\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "no-length": b"HTTP/1.1 200 OK\r\nid: new\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nid: new\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}


# MIXED, ORDER: a server that stops within the head of its answer and
# closes must not look like one that answered without a body.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("name", HEADS)
async def test_head_that_is_cut_anywhere_fails(name, kept, method):
    head = HEADS[name]
    cuts = iter(range(len(head)))

    async def script(reader, writer):
        if kept:
            await read_head(reader)
            writer.write(RESPONSE % b"old")
        await read_head(reader)
        writer.write(head[: next(cuts)])

    async with open_scripted_server(script) as address:
        for cut in range(len(head)):
            pool = make_pool(address)
            if kept:
                assert (await pool.exchange(REQUEST)).status == 200
            with pytest.raises(ExchangeError) as caught:
                await pool.exchange(REQUEST, bodiless=method == "HEAD")
            assert caught.value.sent, head[:cut]
            assert pool.opened == 1


async def test_repeated_request_uses_another_connection():
    async def script(reader, writer):
        while True:
            await read_head(reader)
            writer.write(RESPONSE % b"1")

    async with open_scripted_server(script) as address:
        pool = make_pool(address)
        for request_id in ("r1", "r2", "r1", "r3"):
            await pool.exchange(REQUEST, request_id=request_id)
        assert pool.opened == 2
        assert len(pool._idle) == 2
        pool.close()


def test_ids_are_remembered_for_a_limited_time():
    ids = RecentIds()
    for number in range(1000):
        ids.add(f"r{number}", float(number))
    assert "r999" in ids
    assert "r990" in ids
    assert "r980" not in ids
    assert len(ids._added_at) < 20
