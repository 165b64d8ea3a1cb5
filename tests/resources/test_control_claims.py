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
