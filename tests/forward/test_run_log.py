"""At most one run of a request."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.forward.outcome import Outcome
from burdockgap.forward.run_log import RunLog
from burdockgap.hop.listener import CALLER_CONNECTION_LOST
from burdockgap.http1.server import Server, open_server
from burdockgap.verdict import Reason, Verdict
from standins.sidecar.app_server import AppServer
from tests.forward.builders import GateWorld, make_call
from tests.http1.sockets import HOST
from tests.sidecar.builders import free_port, make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_second_ask_gets_the_first_run():
    log, runs = RunLog(), []

    async def start():
        runs.append(1)
        await asyncio.sleep(0.01)
        return Outcome(Verdict.RAN)

    first, second = log.run("r", start), log.run("r", start)
    assert await first is await second
    assert runs == [1]


async def test_settled_call_never_runs_later():
    app = AppServer("i-1")
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        world = GateWorld()
        world.state.announced(make_info(address=(HOST, port)))
        settled = await world.gate.settle("r1")
        assert settled.verdict is Verdict.NOT_RUN
        late = await world.gate.serve(make_call())
        assert late.verdict is Verdict.NOT_RUN
        assert not app.runs


async def test_lost_link_run_goes_on_and_is_told():
    app = AppServer("i-1", work_s=0.1)
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        world = GateWorld()
        world.state.announced(make_info(address=(HOST, port)))
        call = asyncio.create_task(world.gate.serve(make_call()))
        await asyncio.sleep(0.03)
        call.cancel(CALLER_CONNECTION_LOST)
        outcome = await world.gate.settle("r1")
        assert outcome.verdict is Verdict.RAN
        assert app.runs == ["r1"]


async def test_refused_call_may_be_tried_again():
    app = AppServer("i-1")
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        world = GateWorld()
        first = await world.gate.serve(make_call())
        assert first.reason is Reason.TARGET_DOWN
        world.state.announced(make_info(address=(HOST, port)))
        second = await world.gate.serve(make_call())
        assert second.verdict is Verdict.RAN
