"""Non-idempotent requests run at most once."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.forward import dedup_cache
from burdockgap.forward.dedup_cache import DedupCache
from burdockgap.forward.outcome import Outcome
from burdockgap.hop.peer_session import CALLER_CONNECTION_LOST
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.verdict import Reason, Verdict
from standins.sidecar.app_server import AppServer
from tests.forward.builders import GateHarness, make_call
from tests.http1.sockets import HOST
from tests.ports import free_port
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_repeated_call_gets_the_outcome_of_the_first_run():
    cache, runs = DedupCache(), []

    async def start():
        runs.append(1)
        await asyncio.sleep(0.01)
        return Outcome(Verdict.RAN)

    first, second = cache.run("r", start), cache.run("r", start)
    assert await first is await second
    assert runs == [1]


async def test_old_responses_make_room_but_never_run_again(monkeypatch):
    """Kept responses must not use up memory; runs are remembered."""
    monkeypatch.setattr(dedup_cache, "_MIN_KEPT_S", 0.05)
    cache, runs = DedupCache(), []

    async def start():
        runs.append(1)
        return Outcome(Verdict.RAN, response=Response(200, body=b"x" * 100))

    for name in ("old-1", "old-2", "old-3"):
        await cache.run(name, start)
    await asyncio.sleep(0.06)
    await cache.run("new", start)
    await asyncio.sleep(0)
    cache.free_responses(150)
    kept = [
        (await cache.run(name, start)).response is not None
        for name in ("old-1", "old-2", "old-3", "new")
    ]
    assert kept == [False, False, True, True]
    cache.free_responses(1000)
    assert (await cache.run("new", start)).response is not None
    assert (await cache.run("old-1", start)).verdict is Verdict.RAN
    assert len(runs) == 4


async def test_settled_call_never_runs_later():
    app = AppServer("i-1")
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        harness = GateHarness()
        harness.state.announced(make_info(address=(HOST, port)))
        settled = await harness.gate.settle("r1", 1)
        assert settled.verdict is Verdict.NOT_RUN
        for _ in range(3):
            late = await harness.gate.serve(make_call())
            assert late.verdict is Verdict.NOT_RUN
        assert not app.runs
        retried = await harness.gate.serve(make_call(attempt=2))
        assert retried.verdict is Verdict.RAN


async def test_run_continues_after_a_lost_connection_and_is_reported():
    app = AppServer("i-1", work_s=0.1)
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        harness = GateHarness()
        harness.state.announced(make_info(address=(HOST, port)))
        call = asyncio.create_task(harness.gate.serve(make_call()))
        await asyncio.sleep(0.03)
        call.cancel(CALLER_CONNECTION_LOST)
        outcome = await harness.gate.settle("r1", 1)
        assert outcome.verdict is Verdict.RAN
        assert app.runs == ["r1"]


async def test_refused_call_may_be_retried():
    app = AppServer("i-1")
    port = free_port()
    async with open_server(Server(app.answer), HOST, port):
        harness = GateHarness()
        first = await harness.gate.serve(make_call())
        assert first.reason is Reason.TARGET_DOWN
        harness.state.announced(make_info(address=(HOST, port)))
        second = await harness.gate.serve(make_call())
        assert second.verdict is Verdict.RAN
