"""The gate in front of stand-in target processes."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.gate.gate_policy import GatePolicy
from burdockgap.gate.open_gate import open_gate
from burdockgap.target import HttpTarget
from burdockgap.verdict import Reason, Verdict
from tests.gate.fakes import FakePermits
from tests.gate.test_gate import serve
from tests.target_process import running_target


@asynccontextmanager
async def running_gate(**policy):
    clock = BootClock()
    async with open_gate(
        service="records",
        permits=FakePermits(clock),
        policy=GatePolicy(**policy),
        clock=clock,
        stall_s=0.5,
    ) as gate:
        yield gate


@asynccontextmanager
async def announced_target(gate, process, **fields):
    info = process.info(**fields)
    target = HttpTarget(info, BootClock())
    gate.announced(info, target)
    try:
        yield
    finally:
        await target.aclose()


async def serve_all(gate, request_ids, **fields):
    outcomes = {}

    async def run(request_id):
        outcomes[request_id] = await serve(gate, request_id, **fields)

    async with anyio.create_task_group() as tasks:
        for request_id in request_ids:
            tasks.start_soon(run, request_id)
    return outcomes


def test_crashing_request_is_refused_after_two_crashes():
    """Its resends are refused, concurrent requests still run."""

    async def crash(gate, run):
        outcomes = {}

        async def concurrent_request():
            path = f"/slow-{run}"
            outcomes["beside"] = await serve(gate, f"b{run}", path=path)

        with running_target("--service-ms", "300") as process:
            async with announced_target(gate, process):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(concurrent_request)
                    await anyio.sleep(0.1)
                    outcomes["killer"] = await serve(
                        gate, f"k{run}", path="/crash"
                    )
                    if outcomes["killer"][0] is Verdict.MAY_HAVE_RUN:
                        await anyio.sleep(0.3)
                outcomes["down"] = await serve(gate, f"d{run}")
        return outcomes

    async def run():
        async with running_gate() as gate:
            for index in range(2):
                outcomes = await crash(gate, index)
                for name in ("killer", "beside"):
                    assert outcomes[name] == (
                        Verdict.MAY_HAVE_RUN,
                        Reason.CONNECTION_LOST,
                    )
                down = Verdict.NOT_RUN, Reason.TARGET_DOWN
                assert outcomes["down"] == down
                assert gate.stats.in_flight == 0
            outcomes = await crash(gate, 2)
            blocked = Verdict.NOT_RUN, Reason.QUARANTINED
            assert outcomes["killer"] == blocked
            assert isinstance(outcomes["beside"], bytes)
            assert isinstance(outcomes["down"], bytes)

    anyio.run(run)


def test_cold_start_does_not_overload():
    """The ramp never overloads the target and reaches all slots."""
    with running_target("--warm-step", "8") as process:

        async def run():
            async with (
                running_gate(ramp_step=8, queue_length=200) as gate,
                announced_target(gate, process, slots=6, cold_slots=1),
            ):
                names = [f"r{index}" for index in range(80)]
                outcomes = await serve_all(gate, names)
                assert gate.stats.limit == 6
            assert all(isinstance(o, bytes) for o in outcomes.values())

        anyio.run(run)
        history = process.history()
    assert history["overloaded"] == 0
    assert history["most_running"] > 1


def test_target_turning_cold_lowers_limit():
    """A sudden rise of service times resets the limit."""
    args = ("--service-ms", "40", "--warm-step", "2")
    with running_target(*args) as process:

        async def run():
            policy = {"ramp_step": 2, "queue_length": 99, "queue_wait_s": 9}
            async with (
                running_gate(**policy) as gate,
                announced_target(gate, process, slots=6, cold_slots=1),
            ):
                await serve_all(gate, [f"r{i}" for i in range(50)])
                assert gate.stats.limit == 6
                assert process.history()["overloaded"] == 0
                process.fault(cold=True)
                names = [f"s{i}" for i in range(40)]
                outcomes = await serve_all(gate, names)
            assert all(isinstance(o, bytes) for o in outcomes.values())

        anyio.run(run)
        # Requests in flight when the target turned cold, and the few
        # until the rise of service times was detected.
        assert 0 < process.history()["overloaded"] <= 12


def test_frozen_target_stops_progress():
    """The daemon stops renewing its lease until the target resumes."""
    with running_target("--cold-slots", "6") as process:

        async def run():
            async with running_gate() as gate, announced_target(gate, process):
                assert isinstance(await serve(gate, "before"), bytes)
                process.signal(signal.SIGSTOP)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(serve, gate, "stuck")
                    await anyio.sleep(1.2)
                    assert not gate.progressing
                    process.signal(signal.SIGCONT)
                await anyio.sleep(0.5)
                assert gate.progressing

        anyio.run(run)


def test_export_completes_while_draining():
    """A drain waits for a long response, which arrives complete."""
    path = "/export?chunks=20&size=50000&delay_ms=20"
    with running_target("--cold-slots", "6") as process:

        async def run():
            outcomes = {}

            async def export(gate):
                outcomes["export"] = await serve(gate, "e", path=path)

            async with (
                running_gate() as gate,
                announced_target(gate, process),
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(export, gate)
                await anyio.sleep(0.1)
                gate.refuse_new(Reason.DRAINING)
                assert not await gate.drained(0.05)
                assert await gate.drained(5)
            return outcomes["export"]

        body = anyio.run(run)
    assert body == b"".join(bytes([i]) * 50_000 for i in range(20))


@pytest.mark.parametrize("ignore_cancel", [False, True])
def test_abandoned_requests_never_exceed_slots(ignore_cancel):
    """Abandoned requests count until the target has ended them."""
    args = ("--service-ms", "200", "--slots", "6", "--cold-slots", "6")
    with running_target(*args) as process:
        process.fault(ignore_cancel=ignore_cancel)

        async def run():
            async with (
                running_gate(ramp_start=2, ramp_step=1000) as gate,
                announced_target(gate, process),
            ):
                for turn in range(3):
                    names = [f"{turn}-{index}" for index in range(2)]
                    with anyio.move_on_after(0.05):
                        await serve_all(gate, names)

        anyio.run(run)
        assert process.history()["most_running"] <= 2
