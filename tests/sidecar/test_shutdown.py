"""The planned stop of a daemon while responses are being sent."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.encode import encode_request
from burdockgap.sidecar.run import _shut_down
from standins.sidecar.documents import (
    make_config,
    make_limits,
    make_route,
    make_service,
)
from tests.http1.sockets import read_head
from tests.ports import HOST
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

# More than the buffers of both sockets take.
PADDING = b"x" * 16_000_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


def encode_get(request_id):
    headers = [
        ("Host", "a.example"),
        ("Attempt-Id", request_id),
        ("Deadline-Milliseconds", "5000"),
    ]
    return encode_request("GET", "/crew/1", headers)


@pytest.mark.parametrize(
    "count", [pytest.param(1, id="one"), pytest.param(2, id="pipelined")]
)
async def test_stop_waits_until_a_slow_caller_has_the_response(count):
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        (machine,) = site.machines
        machine.app.padding = PADDING
        reader, writer = await asyncio.open_connection(
            HOST, machine.callers_port, limit=65_536
        )
        writer.write(b"".join(encode_get(f"r{n}") for n in range(count)))
        # Until the transport holds what the caller does not read.
        await site.wait_until(
            lambda: machine.app.runs and not machine.app.in_flight
        )
        await asyncio.sleep(0.2)
        stop = asyncio.create_task(_shut_down(machine.node))
        await asyncio.sleep(3.0)
        assert not stop.done()
        for _ in range(count):
            head = await read_head(reader)
            assert b"200 OK" in head
            size = len(b"answer to ") + len(PADDING)
            await reader.readexactly(size)
        # One that was written before the stop does not announce it.
        assert (b"connection: close" in head) == (count > 1)
        assert await reader.read() == b""
        writer.close()
        async with asyncio.timeout(2):
            assert await stop


async def test_stop_answers_a_request_that_is_still_arriving():
    """Its caller got a closed connection instead of an answer."""
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        (machine,) = site.machines
        reader, writer = await asyncio.open_connection(
            HOST, machine.callers_port
        )
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", "r1"),
            ("Deadline-Milliseconds", "5000"),
        ]
        data = encode_request("POST", "/book/1", headers, b"body")
        writer.write(data[:-2])
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(_shut_down(machine.node))
        await asyncio.sleep(2.9)
        assert not stop.done()
        writer.write(data[-2:])
        # The only daemon of the service is leaving.
        assert b"503 Service Unavailable" in await read_head(reader)
        assert await reader.read() == b""
        assert machine.app.runs == []
        writer.close()
        async with asyncio.timeout(2):
            assert await stop


async def test_late_request_that_can_not_be_completed_is_refused():
    """The process ended while it was in progress (LOST)."""
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        leaving, other = site.machines
        leaving.app.work_s = other.app.work_s = 4.0
        config = make_config(
            make_route("crew", "dispatch", timeout="5000ms"),
            make_service("dispatch"),
            make_limits(),
            version="00000004",
        )
        site.store.put("keyed.op", "config", config)
        documents = leaving.node.documents
        await site.wait_until(
            lambda: documents.config.find("a.example", "/crew/1").timeout_s > 4
        )
        first, first_writer = await asyncio.open_connection(
            HOST, leaving.callers_port
        )
        late, late_writer = await asyncio.open_connection(
            HOST, leaving.callers_port
        )
        first_writer.write(encode_get("r1"))
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(_shut_down(leaving.node))
        await asyncio.sleep(3.0)
        late_writer.write(encode_get("r2"))
        assert b"503 Service Unavailable" in await read_head(late)
        assert b"200 OK" in await read_head(first)
        async with asyncio.timeout(2):
            assert await stop
        assert "r2" not in leaving.app.runs + other.app.runs
        first_writer.close()
        late_writer.close()


# LOST: a request that may run once and came early in the stop was
# passed on and cut off without an answer when the process ended.
async def test_request_that_may_outlast_the_process_is_not_run():
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        leaving, other = site.machines
        leaving.app.work_s = other.app.work_s = 4.9
        config = make_config(
            make_route("book", "dispatch", kind="unsafe", timeout="5000ms"),
            make_service("dispatch"),
            make_limits(),
            version="00000004",
        )
        site.store.put("keyed.op", "config", config)
        await site.wait_until(
            lambda: leaving.node.documents.config_version == 4
        )
        reader, writer = await asyncio.open_connection(
            HOST, leaving.callers_port
        )
        stop = asyncio.create_task(_shut_down(leaving.node))
        await asyncio.sleep(1.0)
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", "r1"),
            ("Deadline-Milliseconds", "5000"),
        ]
        writer.write(encode_request("POST", "/book/1", headers, b"body"))
        assert b"503 Service Unavailable" in await read_head(reader)
        writer.close()
        async with asyncio.timeout(3):
            assert await stop
        assert leaving.app.runs + other.app.runs == []


class SuspendedClock:
    """A clock that counts a suspension of the machine."""

    def __init__(self):
        self.suspended_s = 0.0

    def now(self):
        return asyncio.get_running_loop().time() + self.suspended_s


async def test_stop_counts_the_time_of_a_suspension():
    """Suspended machines were killed in their stop (inc-f417)."""
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        (machine,) = site.machines
        clock = machine.node.clock = SuspendedClock()
        stop = asyncio.create_task(_shut_down(machine.node))
        await asyncio.sleep(0.1)
        clock.suspended_s = 3.0
        async with asyncio.timeout(0.5):
            assert await stop


async def test_stop_ends_in_time_for_a_caller_that_never_reads():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        (machine,) = site.machines
        machine.app.padding = PADDING
        _, writer = await asyncio.open_connection(
            HOST, machine.callers_port, limit=65_536
        )
        writer.write(encode_get("r1"))
        await asyncio.sleep(0.3)
        async with asyncio.timeout(machine.node.cfg.grace_s):
            assert not await _shut_down(machine.node)
        writer.transport.abort()
