"""Calls between daemons, also over connections that fail."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from burdockgap.hop.frames import (
    CALL,
    CANCEL,
    PART,
    REPLY,
    FrameBuffer,
    FrameError,
    encode_frame,
)
from burdockgap.hop.listener import open_listener
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.hop.peer_connections import PeerConnections
from burdockgap.hop.peer_session import CALLER_CONNECTION_LOST
from burdockgap.resources.memory_budget import MemoryBudget
from tests.http1.sockets import HOST, open_scripted_server
from tests.ports import free_port

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_calls_share_a_connection():
    async def double(payload):
        await asyncio.sleep(0.05 * (3 - payload))
        return payload * 2

    port = free_port()
    async with open_listener({1: double}, HOST, port):
        peer_connections = PeerConnections()
        calls = [
            peer_connections.call((HOST, port), 1, number)
            for number in range(3)
        ]
        assert await asyncio.gather(*calls) == [0, 2, 4]
        peer_connections.close()


async def test_cancelled_call_is_cancelled_at_the_peer():
    ended = asyncio.Event()
    cancel_args = []

    async def wait(_payload):
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError as exc:
            cancel_args.append(exc.args)
            ended.set()
            raise

    port = free_port()
    async with open_listener({1: wait}, HOST, port):
        peer_connections = PeerConnections()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await peer_connections.call((HOST, port), 1, None)
        async with asyncio.timeout(1):
            await ended.wait()
        assert cancel_args == [()]
        peer_connections.close()


async def test_lost_connection_cancels_the_call_with_its_own_message():
    cancel_args = []
    started = asyncio.Event()

    async def wait(_payload):
        started.set()
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError as exc:
            cancel_args.append(exc.args)
            raise

    port = free_port()
    async with open_listener({1: wait}, HOST, port):
        peer_connections = PeerConnections()
        call = asyncio.create_task(
            peer_connections.call((HOST, port), 1, None)
        )
        await started.wait()
        peer_connections.close()
        with pytest.raises(PeerCallError) as caught:
            await call
        assert caught.value.sent
        await asyncio.sleep(0.05)
        assert cancel_args == [(CALLER_CONNECTION_LOST,)]


async def test_call_fails_when_the_connection_receives_nothing():
    async def script(reader, _writer):
        await reader.read()

    async with open_scripted_server(script) as address:
        peer_connections = PeerConnections()
        async with asyncio.timeout(2.0):
            with pytest.raises(PeerCallError) as caught:
                await peer_connections.call(address, 1, None)
        assert caught.value.sent


async def test_slow_reply_of_a_peer_that_answers_pings_is_awaited():
    async def slow(_payload):
        await asyncio.sleep(1.5)
        return "late"

    port = free_port()
    async with open_listener({1: slow}, HOST, port):
        peer_connections = PeerConnections()
        assert await peer_connections.call((HOST, port), 1, None) == "late"
        peer_connections.close()


def open_full_listener():
    """Return a socket that completes no further connection for now."""
    sock = socket.create_server((HOST, free_port()), backlog=0)
    sock.setblocking(False)
    return sock


# CONFIG: each fetch of a configuration over a full link was given up
# after 0.5 s, and the next one began anew.
async def test_rare_call_waits_longer_after_an_opening_timed_out():
    frames = FrameBuffer()
    with open_full_listener() as sock, socket.socket() as other:
        address = sock.getsockname()
        other.connect(address)
        peer_connections = PeerConnections()
        with pytest.raises(PeerCallError):
            await peer_connections.call_once(address, 1, None)
        call = asyncio.create_task(
            peer_connections.call_once(address, 1, None)
        )
        await asyncio.sleep(0.7)
        sock.accept()[0].close()
        sock.listen(10)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(2.0):
            conn, _ = await loop.sock_accept(sock)
            data = await loop.sock_recv(conn, 1000)
            for frame in frames.feed(data):
                reply = encode_frame(REPLY, frame[1], "late")
                await loop.sock_sendall(conn, reply)
            assert await call == "late"
        conn.close()


async def test_refused_connection_is_reported_as_not_sent():
    with pytest.raises(PeerCallError) as caught:
        await PeerConnections().call((HOST, free_port()), 1, None)
    assert not caught.value.sent


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\xff\xff\xff\xff", id="too-long"),
        pytest.param(b"\x00\x00\x00\x01\xc1", id="no-values"),
        pytest.param(b"\x00\x00\x00\x01\x05", id="no-list"),
    ],
)
async def test_invalid_frames_close_the_connection(data):
    with pytest.raises(FrameError):
        list(FrameBuffer().feed(data))
    port = free_port()
    async with open_listener({}, HOST, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        writer.close()


def test_frames_are_read_however_the_bytes_are_split():
    data = encode_frame(1, "a") + encode_frame(2, b"bc")
    for split_at in range(len(data)):
        buffer = FrameBuffer()
        frames = [*buffer.feed(data[:split_at]), *buffer.feed(data[split_at:])]
        assert frames == [[1, "a"], [2, b"bc"]]


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param([REPLY, [1], 2], id="call-number-not-hashable"),
        pytest.param([REPLY], id="too-short"),
        pytest.param([REPLY, 1], id="no-payload"),
        pytest.param([PART, 1, 7], id="part-is-no-bytes"),
        pytest.param([PART, 1, b"\xff\xff\xff\xff"], id="part-too-large"),
    ],
)
async def test_invalid_frame_of_the_peer_fails_the_call(frame):
    async def script(reader, writer):
        await reader.read(10)
        writer.write(encode_frame(*frame))
        await reader.read()

    async with open_scripted_server(script) as address:
        peer_connections = PeerConnections()
        with pytest.raises(PeerCallError) as caught:
            async with asyncio.timeout(2):
                await peer_connections.call(address, 1, None)
        assert caught.value.sent
        assert "invalid" in str(caught.value)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(encode_frame(CALL, [1], 1, None), id="call-number"),
        pytest.param(encode_frame(CANCEL, {}), id="cancelled-number"),
        pytest.param(encode_frame(CALL, 1, [2], None), id="kind"),
        pytest.param(encode_frame(CALL, 1), id="too-short"),
        pytest.param(b"\x00\x00\x00\x04\x81\x91\x01\x02", id="map-key"),
    ],
)
async def test_invalid_frame_of_a_caller_closes_its_connection_only(data):
    async def echo(payload):
        return payload

    port, errors = free_port(), []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: errors.append(context)
    )
    async with open_listener({1: echo}, HOST, port):
        peer_connections = PeerConnections()
        assert await peer_connections.call((HOST, port), 1, 5) == 5
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        async with asyncio.timeout(1):
            with suppress(ConnectionError):
                assert await reader.read() == b""
        writer.close()
        assert await peer_connections.call((HOST, port), 1, 6) == 6
        peer_connections.close()
    assert not errors


async def test_callers_frames_without_end_share_a_budget():
    budget = MemoryBudget(1_000_000)
    port = free_port()
    async with open_listener({}, HOST, port, budget=budget):
        writers = []
        for _ in range(4):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write((70_000_000).to_bytes(4, "big"))
            writers.append(writer)
        async with asyncio.timeout(5):
            for _ in range(40):
                for writer in writers:
                    writer.write(b"x" * 65_536)
                await asyncio.sleep(0.005)
                assert budget.used <= budget.max_bytes
            while any(not writer.is_closing() for writer in writers):
                for writer in writers:
                    writer.write(b"x")
                await asyncio.sleep(0.01)
        while budget.used:
            await asyncio.sleep(0.01)


async def test_reply_without_end_fails_its_call_alone():
    budget = MemoryBudget(1_000_000)

    async def script(reader, writer):
        await reader.read(10)
        part = encode_frame(
            PART, 1, (70_000_000).to_bytes(4, "big") + b"x" * 60_000
        )
        writer.write(part)
        for _ in range(40):
            writer.write(encode_frame(PART, 1, b"x" * 60_000))
            await writer.drain()
        writer.write(encode_frame(REPLY, 2, "second"))
        with suppress(ConnectionError):
            await reader.read()

    async with open_scripted_server(script) as address:
        peer_connections = PeerConnections(budget=budget)
        async with asyncio.timeout(5):
            first, second = await asyncio.gather(
                peer_connections.call(address, 1, None),
                peer_connections.call(address, 1, None),
                return_exceptions=True,
            )
        assert isinstance(first, PeerCallError)
        assert "memory limit" in str(first)
        assert second == "second"
        assert budget.used == 0
        peer_connections.close()


async def test_listener_is_busy_until_a_reply_is_sent():
    """A daemon that stops must not cut off a reply to a slow peer."""

    async def answer(_payload):
        return b"x" * 16_000_000

    port = free_port()
    async with open_listener({1: answer}, HOST, port) as is_busy:
        assert not is_busy()
        reader, writer = await asyncio.open_connection(
            HOST, port, limit=65_536
        )
        writer.write(encode_frame(CALL, 1, 1, None))
        await asyncio.sleep(0.2)
        assert is_busy()
        size = int.from_bytes(await reader.readexactly(4), "big")
        await reader.readexactly(size)
        await asyncio.sleep(0.05)
        assert not is_busy()
        writer.close()


async def test_call_cancelled_before_it_starts_leaves_the_listener_idle():
    """Such a call held up a planned stop until its time limit."""

    async def wait(_payload):
        await asyncio.sleep(10)

    port = free_port()
    async with open_listener({1: wait}, HOST, port) as is_busy:
        _, writer = await asyncio.open_connection(HOST, port)
        # In one segment: both are handled before the call's task runs.
        writer.write(encode_frame(CALL, 1, 1, None) + encode_frame(CANCEL, 1))
        await asyncio.sleep(0.2)
        assert not is_busy()
        writer.close()


# MIXED: an answer of which a peer sent only a part must not arrive.
async def test_reply_that_is_cut_anywhere_fails():
    reply = encode_frame(REPLY, 1, ["ran", None, 200, [], b"body"])
    cuts = iter(range(len(reply)))

    async def script(reader, writer):
        await reader.read(1000)
        writer.write(reply[: next(cuts)])

    async with open_scripted_server(script) as address:
        for cut in range(len(reply)):
            peer_connections = PeerConnections()
            with pytest.raises(PeerCallError) as caught:
                await peer_connections.call(address[:2], 1, None)
            assert caught.value.sent, reply[:cut]
            peer_connections.close()


# CONFIG: a fetch waited until an open connection that had fallen silent
# was noticed, and the next one met another such connection.
async def test_single_call_does_not_use_an_open_connection():
    connections = 0

    async def count(reader, writer):
        nonlocal connections
        connections += 1
        if connections > 1:
            writer.write(encode_frame(REPLY, 1, "new"))
        await reader.read()

    async with open_scripted_server(count) as address:
        peer_connections = PeerConnections()
        silent = asyncio.create_task(
            peer_connections.call(address[:2], 1, None)
        )
        await asyncio.sleep(0.05)
        started_at = asyncio.get_running_loop().time()
        assert await peer_connections.call_once(address[:2], 1, None) == "new"
        assert asyncio.get_running_loop().time() - started_at < 0.3
        assert not silent.done()
        silent.cancel()
        peer_connections.close()
