from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.gate.gate_policy import GatePolicy
from burdockgap.gate.open_gate import open_gate
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import make_gate_request, make_target_info
from tests.gate.fakes import FakePermits, FakeTarget


class GateHarness:
    """A gate with fake collaborators; collects request outcomes."""

    def __init__(self, gate, permits, target, tasks):
        self.gate = gate
        self.permits = permits
        self.target = target
        self.tasks = tasks
        self.outcomes = {}

    async def call(self, request_id="r1", *, caller="", **fields):
        outcome = await serve(self.gate, request_id, **fields)
        self.outcomes[caller or request_id] = outcome
        return outcome

    async def spawn(self, request_id, **fields):
        async def run():
            await self.call(request_id, **fields)

        self.tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()

    def sent(self):
        return [req.request_id for req in self.target.sent]


async def serve(gate, request_id, **fields):
    try:
        req = make_gate_request(request_id, **fields)
        async with gate.serve(req) as reply:
            return b"".join([part async for part in reply.body])
    except Refusal as exc:
        return exc.verdict, exc.reason


@asynccontextmanager
async def open_harness(slots=4, cold_slots=4, **policy):
    clock = BootClock()
    permits = FakePermits(clock)
    target = FakeTarget()
    async with (
        open_gate(
            service="records",
            permits=permits,
            policy=GatePolicy(**policy),
            clock=clock,
            stall_s=0.3,
        ) as gate,
        anyio.create_task_group() as tasks,
    ):
        info = make_target_info(slots=slots, cold_slots=cold_slots)
        gate.announced(info, target)
        with anyio.fail_after(10):
            yield GateHarness(gate, permits, target, tasks)
        tasks.cancel_scope.cancel()


def not_run(reason):
    return Verdict.NOT_RUN, reason


@pytest.fixture(params=[pytest.param("asyncio", id="asyncio")])
def anyio_backend(request):
    return request.param


pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("reason", [Reason.DRAINING, Reason.DATA_CENTRE_OUT])
async def test_refuse_new_refuses_queued_but_not_running(reason):
    """A drain refuses queued requests and lets running ones end."""
    async with open_harness(slots=1) as harness:
        await harness.spawn("running")
        await harness.spawn("queued")
        harness.gate.refuse_new(reason)
        await harness.spawn("new")
        assert harness.outcomes["queued"] == not_run(reason)
        assert not await harness.gate.drained(0.05)
        harness.target.release()
        assert await harness.gate.drained(1)
        await anyio.wait_all_tasks_blocked()
        assert harness.outcomes["new"] == not_run(reason)
        assert harness.outcomes["running"] == b"arunning"
        assert harness.sent() == ["running"]
        harness.gate.refuse_new(None)
        assert await harness.call("again") == b"aagain"


async def test_resend_while_refusing_is_answered_from_the_log():
    """A request that ran is not reported as not-run."""
    async with open_harness() as harness:
        harness.target.release()
        assert await harness.call("r", idempotent=False) == b"ar"
        harness.gate.refuse_new(Reason.DRAINING)
        assert await harness.call("r", idempotent=False) == b"ar"
        assert harness.sent() == ["r"]


async def test_leaving_target_gets_no_new_work():
    """The target's status is sufficient, without a drain request."""
    async with open_harness() as harness:
        harness.target.release()
        harness.target.leaving = True
        await anyio.sleep(0.4)
        assert await harness.call() == not_run(Reason.DRAINING)


async def test_no_target_announced():
    clock = BootClock()
    async with open_gate(
        service="records",
        permits=FakePermits(clock),
        policy=GatePolicy(),
        clock=clock,
    ) as gate:
        assert await serve(gate, "r") == not_run(Reason.TARGET_DOWN)


async def test_lease_lost_in_queue():
    """The lease is checked immediately before dispatch."""
    async with open_harness(slots=1) as harness:
        await harness.spawn("first")
        await harness.spawn("queued")
        harness.permits.lease_ends_at = 0.0
        harness.target.release()
        await anyio.sleep(0.01)
        assert harness.outcomes["queued"] == not_run(Reason.NO_LEASE)
        assert harness.sent() == ["first"]


@pytest.mark.parametrize("renewed", [True, False])
async def test_lease_end_cancels_work(renewed):
    """A request outlives the first lease only if it is renewed."""
    async with open_harness() as harness:
        harness.permits.lease_ends_at = BootClock().now() + 0.2
        await harness.spawn("long")
        if renewed:
            harness.permits.permit.expires_at += 3600
        await anyio.sleep(0.4)
        harness.target.release()
        await anyio.sleep(0.01)
        expected = Verdict.MAY_HAVE_RUN, Reason.NO_LEASE
        assert harness.outcomes["long"] == (b"along" if renewed else expected)
        assert harness.permits.entered == 0


async def test_slot_and_permit_held_until_abandoned_work_ends():
    """A disconnected caller does not free the slot or permit early."""
    async with open_harness(slots=1) as harness:
        harness.target.cancel_ends = False
        with anyio.move_on_after(0.05):
            await harness.call("gone")
        assert (harness.gate.stats.in_flight, harness.permits.entered) == (
            1,
            1,
        )
        await harness.spawn("next")
        assert harness.sent() == ["gone"]
        harness.target.cancel_ends = True
        harness.target.release()
        await anyio.sleep(0.3)
        assert harness.outcomes["next"] == b"anext"
        assert harness.permits.entered == 0


async def test_cold_start_limits_work():
    """The limit grows by one slot per ``ramp_step`` completions."""
    async with open_harness(slots=3, cold_slots=1, ramp_step=4) as harness:
        for index in range(9):
            await harness.spawn(f"r{index}")
        assert harness.target.most_running == 1
        harness.target.release()
        await anyio.sleep(0.05)
        assert len(harness.outcomes) == 9
        assert harness.gate.stats.limit == 3
        again = FakeTarget("boot-2")
        info = make_target_info(slots=3, cold_slots=1, boot_id="boot-2")
        harness.gate.announced(info, again)
        for index in range(3):
            await harness.spawn(f"s{index}")
        assert (harness.gate.stats.limit, again.running) == (1, 1)


async def test_request_for_other_service():
    async with open_harness() as harness:
        outcome = await harness.call(service="dispatch")
        assert outcome == not_run(Reason.UNKNOWN_SERVICE)


async def test_request_id_in_flight():
    """The target cancels by request id, so ids must be unique."""
    async with open_harness() as harness:
        await harness.spawn("r1")
        assert await harness.call("r1") == not_run(Reason.DUPLICATE)


async def test_repeated_announcement_keeps_target():
    async with open_harness() as harness:
        info = make_target_info(slots=4, cold_slots=4)
        assert not harness.gate.announced(info, FakeTarget())
        assert harness.gate.target is harness.target


async def test_queue_full():
    async with open_harness(slots=1, queue_length=1) as harness:
        await harness.spawn("running")
        await harness.spawn("queued")
        assert await harness.call("third") == not_run(Reason.QUEUE_FULL)


async def test_resend_answered_from_log():
    """A resend is deduplicated also while the first is in flight."""
    async with open_harness() as harness:
        await harness.spawn("book", idempotent=False)
        await harness.spawn("book", caller="other", idempotent=False)
        harness.target.release()
        await anyio.sleep(0.01)
        assert await harness.call("book", idempotent=False) == b"abook"
        assert harness.outcomes["other"] == b"abook"
        assert harness.sent() == ["book"]


async def test_resend_of_other_request_with_same_id():
    """A caller never gets the response to another request."""
    async with open_harness() as harness:
        harness.target.release()
        await harness.call("book", idempotent=False)
        outcome = await harness.call("book", idempotent=False, path="/other")
        assert outcome == not_run(Reason.BAD_REQUEST)


async def test_resend_after_abandoned_request():
    """The request does not run twice."""
    async with open_harness() as harness:
        with anyio.move_on_after(0.05):
            await harness.call("book", idempotent=False)
        harness.target.release()
        outcome = await harness.call("book", idempotent=False)
        assert outcome == (Verdict.MAY_HAVE_RUN, Reason.DUPLICATE)
        assert harness.sent() == ["book"]


async def test_resend_after_not_run():
    async with open_harness() as harness:
        harness.target.release()
        harness.target.refusal = Refusal(Verdict.NOT_RUN, Reason.TARGET_SHED)
        outcome = await harness.call("book", idempotent=False)
        assert outcome == not_run(Reason.TARGET_SHED)
        harness.target.refusal = None
        assert await harness.call("book", idempotent=False) == b"abook"


async def test_not_run_raised_by_caller_code_is_ignored():
    """After the response, only the log determines the verdict."""
    async with open_harness() as harness:
        harness.target.release()
        req = make_gate_request("book", idempotent=False)
        with pytest.raises(Refusal):
            async with harness.gate.serve(req):
                raise Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE)
        outcome = await harness.call("book", idempotent=False)
        assert outcome == (Verdict.MAY_HAVE_RUN, Reason.DUPLICATE)


async def test_stalled_target_stops_progress():
    """A daemon with a suspended target must give up its units."""
    async with open_harness() as harness:
        harness.target.silent = True
        await anyio.sleep(0.4)
        assert harness.gate.progressing
        await harness.spawn("stuck")
        await anyio.sleep(0.4)
        assert not harness.gate.progressing
        harness.target.silent = False
        await anyio.sleep(0.3)
        assert harness.gate.progressing


async def test_wait_that_will_be_too_long_is_refused_at_once():
    """A refusal under overload is immediate, not after the wait."""
    async with open_harness(slots=1, queue_wait_s=0.15) as harness:
        for number in range(3):
            harness.tasks.start_soon(harness.call, f"first-{number}")
            await anyio.sleep(0.1)
            harness.target.release()
            await anyio.wait_all_tasks_blocked()
            harness.target.may_finish = anyio.Event()
        await harness.spawn("running")
        await harness.spawn("waits")
        await harness.spawn("refused")
        assert harness.outcomes["refused"] == not_run(Reason.QUEUE_FULL)
        assert "waits" not in harness.outcomes
