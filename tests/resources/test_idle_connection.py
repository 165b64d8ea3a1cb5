"""What a connection holds after its response was sent."""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest

from burdockgap.http1.request import Request
from burdockgap.http1.response import Response
from burdockgap.resources.memory_budget import MemoryBudget
from tests.http1.sockets import open_http_server, read_head

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_answered_request_and_response_are_freed():
    """Idle clients must not hold bodies for which no one is charged."""
    budget = MemoryBudget(50_000_000)
    before = {id(item) for item in gc.get_objects()}

    async def answer(_req):
        return Response(200, body=b"x" * 1_000_000)

    async with open_http_server(answer, budget=budget) as (_, reader, writer):
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
            + b"b" * 100_000
        )
        async with asyncio.timeout(5):
            await read_head(reader)
            await reader.readexactly(1_000_000)
        await asyncio.sleep(0.05)
        assert budget.held["responses"] == 0
        held = [
            item
            for item in gc.get_objects()
            if isinstance(item, (Request, Response)) and id(item) not in before
        ]
        assert held == []


async def test_headers_of_an_answered_request_are_freed():
    """A head of 512 headers takes 118 KB, which is credited by then."""
    seen = []

    async def answer(req):
        seen.append(req.headers)
        return Response(200)

    async with open_http_server(answer) as (_, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(5):
            await read_head(reader)
        await asyncio.sleep(0.05)
        # The list above and the argument of the call.
        references = sys.getrefcount(seen[0])
        assert references == 2
