"""Calls that take long to send over the machine's link."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockgap.hop.frames import CALL, PART, encode_frame
from burdockgap.hop.listener import open_listener
from burdockgap.hop.peer_connections import PeerConnections
from burdockgap.resources.memory_budget import MemoryBudget
from burdockgap.uplink import Uplink
from tests.http1.sockets import HOST
from tests.ports import free_port

pytestmark = pytest.mark.anyio

LINK_BYTES_PER_S = 625_000
"""5 Mbit/s."""
BODY = bytes(range(256)) * 1000
"""Takes half a second to send."""
LONG_BODY = b"x" * 10_000_000
BUDGET_BYTES = 1_000_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peers:
    """A listener that echoes sizes, and connections to it."""

    def __init__(self, port):
        self.address = (HOST, port)
        self.uplink = Uplink(LINK_BYTES_PER_S)
        self.connections = PeerConnections(self.uplink)
        self.received = []

    async def note(self, payload):
        self.received.append(payload)
        return len(payload)

    async def call(self, payload):
        return await self.connections.call(self.address, 1, payload)


@asynccontextmanager
async def open_peers(budget=None, refusals=None):
    port = free_port()
    peers = Peers(port)
    async with open_listener(
        {1: peers.note}, HOST, port, budget=budget, refusals=refusals
    ):
        yield peers
        peers.connections.close()


async def test_long_call_arrives_whole():
    async with open_peers() as peers:
        assert await peers.call(BODY) == len(BODY)
        assert peers.received == [BODY]


async def test_short_calls_do_not_wait_for_a_long_one():
    async with open_peers() as peers:
        long_call = asyncio.create_task(peers.call(LONG_BODY))
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1.0):
            assert await peers.call(b"short") == 5
        long_call.cancel()


# CONFIG, review/5: after an upload that was given up, no large response
# left the machine for as long as the upload would have taken.
async def test_rest_of_a_cancelled_call_is_not_sent():
    budget = MemoryBudget(2 * len(LONG_BODY))
    async with open_peers(budget) as peers:
        call = asyncio.create_task(peers.call(LONG_BODY))
        await asyncio.sleep(0.2)
        assert peers.uplink.backlog_s > 10
        assert budget.used >= len(LONG_BODY)
        call.cancel()
        await asyncio.sleep(0.1)
        assert peers.uplink.backlog_s < 0.5
        assert budget.used == 0
        assert await peers.call(BODY) == len(BODY)
        assert peers.received == [BODY]


async def test_rest_of_a_refused_call_is_not_sent():
    budget = MemoryBudget(BUDGET_BYTES * 11)
    with budget.hold(BUDGET_BYTES * 10, "other"):
        async with open_peers(budget, {1: lambda: "refused"}) as peers:
            async with asyncio.timeout(1.0):
                assert await peers.call(LONG_BODY) == "refused"
            await asyncio.sleep(0.1)
            assert peers.uplink.backlog_s < 0.5
            assert await peers.call(b"short") == 5


async def test_part_with_another_frame_closes_the_connection():
    async with open_peers() as peers:
        reader, writer = await asyncio.open_connection(*peers.address)
        inner = encode_frame(PART, 1, encode_frame(CALL, 1, 1, b"x"))
        writer.write(encode_frame(PART, 1, inner))
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()
        assert not peers.received
