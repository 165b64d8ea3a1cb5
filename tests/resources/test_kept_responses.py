"""What is counted for responses that are kept for repeated calls."""

from __future__ import annotations

import asyncio

import pytest

from tests.forward.builders import GateHarness, make_call
from tests.http1.sockets import (
    open_http_server,
    open_scripted_server,
    read_head,
)
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio

_BODY_BYTES = 10_000_000
"""More than the kernel buffers for one connection."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def run_once(reader, writer):
    """Answer one request as a target."""
    await read_head(reader)
    writer.write(
        b"HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n"
        b"content-length: %d\r\n\r\n" % _BODY_BYTES
    )
    writer.write(b"x" * _BODY_BYTES)
    await writer.drain()
    await reader.read()


async def test_kept_response_is_counted_after_its_client_left():
    """Clients that leave during responses must not fill the memory."""
    async with open_scripted_server(run_once) as address:
        harness = GateHarness()
        harness.state.announced(make_info(address=address))
        budget = harness.gate._exchange._buffers

        async def answer(_req):
            return (await harness.gate.serve(make_call())).response

        async with open_http_server(answer, budget=budget) as (
            server,
            reader,
            writer,
        ):
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(5):
                await read_head(reader)
                writer.transport.abort()
                while server.connections:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            repeated = await harness.gate.serve(make_call())
            assert len(repeated.response.body) == _BODY_BYTES
            assert budget.used >= _BODY_BYTES
