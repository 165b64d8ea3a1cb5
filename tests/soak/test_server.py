"""The departures that the soak's servers hold against daemons."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from soak.invariants import InvariantChecker
from soak.server import CONTROL_PORT, SoakServer

HOST = "127.77.3.1"

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class LateControl:
    """A daemon that acknowledges once it is allowed to."""

    def __init__(self):
        self.called = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def answer(self, _req):
        self.called.set()
        await self.may_answer.wait()
        return Response(200)


@asynccontextmanager
async def open_server_and_control():
    control = LateControl()
    server = SoakServer(
        name="m1",
        service="dispatch",
        host=HOST,
        control=HOST,
        data_centre="dc1",
        checker=InvariantChecker(),
        grants_may_be_late=lambda: False,
        undisturbed_s=lambda: 60.0,
        evacuated_for_s=lambda: 0.0,
    )
    async with open_server(Server(control.answer), HOST, CONTROL_PORT):
        await server.start()
        yield server, control
        await server.stop()


async def restart(server):
    await server.stop()
    await server.start()


@pytest.mark.parametrize("restarts", [False, True])
async def test_departure_counts_for_the_incarnation_that_left(restarts):
    async with open_server_and_control() as (server, control):
        leaving = asyncio.create_task(server.deregister())
        await control.called.wait()
        if restarts:
            await restart(server)
        control.may_answer.set()
        await leaving
        assert (server._left_at is None) == restarts


@pytest.mark.parametrize("restarts", [False, True])
async def test_drain_counts_for_the_incarnation_that_drains(restarts):
    async with open_server_and_control() as (server, control):
        server.draining = True
        heartbeats = asyncio.create_task(server.send_heartbeats())
        await control.called.wait()
        if restarts:
            await restart(server)
            server.draining = False
        control.may_answer.set()
        await asyncio.sleep(0.2)
        heartbeats.cancel()
        assert (server._draining_since is None) == restarts
