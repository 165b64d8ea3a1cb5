"""Servers in trouble whose answers have no valid status."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from tests.http1.sockets import read_head
from tests.ports import HOST
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

LONGEST_S = 0.4
"""Below the timeout of the route, 1 s, for which nothing may wait."""
FORMS = [
    pytest.param(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n"
        "Content-Length: 5\r\n\r\nhello",
        id="with-body",
    ),
    pytest.param(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\n",
        id="without-body",
    ),
]


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def answering(machine, form, status):
    """Let a machine's server answer with a status; yield its runs."""
    runs = []

    async def run(reader, writer):
        try:
            while True:
                head = (await read_head(reader)).decode().lower()
                request_id = head.split("attempt-id: ")[1].split("\r\n")[0]
                runs.append(request_id)
                text = form.format(status=status, id=request_id)
                writer.write(text.encode())
        except asyncio.IncompleteReadError:
            writer.close()

    await machine.stop_app()
    server = await asyncio.start_server(run, HOST, machine.app_port)
    try:
        yield runs
    finally:
        server.close()
        await machine.start_app()


# MIXED: a caller got the status 000 or 600 as an answer, or waited for
# the timeout of its route though the server had answered.
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_invalid_status_is_a_bad_gateway_at_once(status, form):
    async with open_site("dispatch", "alerts") as site:
        await site.wait_until_ready()
        broken = site.machines[0]
        async with answering(broken, form, status) as runs:
            for machine in site.machines:
                for method, path in (("GET", "/crew/1"), ("POST", "/book/1")):
                    began = time.monotonic()
                    answer = await machine.ask(path, method=method)
                    assert time.monotonic() - began < LONGEST_S
                    assert answer.status == 502
                    assert not answer.body
        assert len(runs) == len(set(runs)) == 4
        await site.wait_until(
            lambda: site.machines[1].node.roster.servers("dispatch")
        )
        assert (await broken.ask("/crew/1")).status == 200
