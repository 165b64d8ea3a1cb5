"""Control connections while more is held than the budget allows."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.response import Response
from burdockgap.resources.memory_budget import MemoryBudget
from tests.http1.sockets import open_http_server, read_head

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_readiness_is_answered_while_replies_exceed_the_budget():
    """
    Replies to peers are counted above the limit and cannot be shed.

    Readiness checks and heartbeats were refused until a slow link had
    sent them.
    """
    budget = MemoryBudget(1_000_000, reserve_share=0.125)

    async def answer(_req):
        return Response(200)

    with budget.hold(1_000_001, "replies"):
        async with open_http_server(
            answer, budget=budget, is_control=True
        ) as (_, reader, writer):
            writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(2):
                assert b"200" in await read_head(reader)


async def test_readiness_is_answered_beside_unfinished_heads():
    """As many clients as a control server admits must not starve it."""
    max_connections = 8

    async def answer(_req):
        return Response(200)

    async with open_http_server(
        answer, is_control=True, max_connections=max_connections
    ) as (_, _, writer):
        address = writer.get_extra_info("peername")[:2]
        writers = [writer]
        for _ in range(max_connections - 1):
            _, other = await asyncio.open_connection(*address)
            writers.append(other)
        for other in writers:
            other.write(b"GET /rea")
        # Idle connections may be closed for a new one after 1 s.
        await asyncio.sleep(1.2)
        reader, checker = await asyncio.open_connection(*address)
        checker.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(2):
            assert b"200" in await read_head(reader)
        for other in (*writers, checker):
            other.close()
