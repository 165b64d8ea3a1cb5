"""Pacing of large messages, so that they do not delay small ones."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.hop.listener import open_listener
from burdockgap.hop.peer_connections import PeerConnections
from burdockgap.uplink import Uplink
from tests.ports import HOST, free_port

pytestmark = pytest.mark.anyio

SLOW_LINK_BYTES_PER_S = 400_000
"""Of these, 340,000 (85%) are used, so that a part takes 48 ms."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_large_message_is_sent_at_the_rate_of_the_link():
    uplink = Uplink(SLOW_LINK_BYTES_PER_S)
    parts = []
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await uplink.send(bytes(80_000), parts.append)
    assert b"".join(parts) == bytes(80_000)
    assert max(map(len, parts)) == uplink.part_bytes
    assert loop.time() - started_at > 0.1
    assert uplink.backlog_s < 0.07


async def test_backlog_includes_queued_and_counted_bytes():
    uplink = Uplink(SLOW_LINK_BYTES_PER_S)
    uplink.count(40_000)
    sending = asyncio.create_task(uplink.send(bytes(80_000), lambda _: None))
    await asyncio.sleep(0)
    assert uplink.backlog_s == pytest.approx(0.35, abs=0.02)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    assert uplink.backlog_s == pytest.approx(0.12, abs=0.02)


async def test_cancelled_message_does_not_block_the_next():
    uplink = Uplink(SLOW_LINK_BYTES_PER_S)
    first = asyncio.create_task(uplink.send(bytes(400_000), lambda _: None))
    parts = []
    second = asyncio.create_task(uplink.send(b"x" * 20_000, parts.append))
    await asyncio.sleep(0.01)
    first.cancel()
    async with asyncio.timeout(0.5):
        await second
    assert b"".join(parts) == b"x" * 20_000


async def test_small_reply_overtakes_a_large_one():
    large = bytes(200_000)

    async def answer(payload):
        return large if payload == "large" else "small"

    uplink = Uplink(SLOW_LINK_BYTES_PER_S)
    port = free_port()
    async with open_listener({1: answer}, HOST, port, uplink=uplink):
        peer_connections = PeerConnections()
        first = asyncio.create_task(
            peer_connections.call((HOST, port), 1, "large")
        )
        await asyncio.sleep(0.02)
        assert await peer_connections.call((HOST, port), 1, "small") == "small"
        assert not first.done()
        assert await first == large
        peer_connections.close()


# A reply whose receiver grants it piece by piece took turns with all
# later ones, so that every one of them was late.
async def test_later_piece_of_an_earlier_message_goes_first():
    uplink = Uplink(SLOW_LINK_BYTES_PER_S)
    sent = []

    async def send(message, size, name):
        await uplink.send_piece(
            message, memoryview(bytes(size)), lambda _: sent.append(name)
        )

    with (
        uplink.queue_message(40_000) as first,
        uplink.queue_message(40_000) as second,
    ):
        # What waits for its receiver is queued as well.
        assert uplink.backlog_s == pytest.approx(0.24, abs=0.02)
        await send(first, 16_384, "first")
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(send(second, 16_384, "second"))
            await asyncio.sleep(0)
            tasks.create_task(send(second, 16_384, "second"))
            tasks.create_task(send(first, 16_384, "first"))
    assert sent == ["first", "second", "first", "second"]
    assert uplink.backlog_s < 0.2
