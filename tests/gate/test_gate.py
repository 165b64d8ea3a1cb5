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


class Bench:
    """A gate between fakes, with the outcomes of its requests."""

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
async def bench(slots=4, cold_slots=4, **policy):
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
            yield Bench(gate, permits, target, tasks)
        tasks.cancel_scope.cancel()


def not_run(reason):
    return Verdict.NOT_RUN, reason


@pytest.fixture(params=[pytest.param("asyncio", id="asyncio")])
def anyio_backend(request):
    return request.param


pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("reason", [Reason.DRAINING, Reason.DATA_CENTRE_OUT])
async def test_refuse_new_reaches_queue_but_not_work(reason):
    """Points 4, 6, 8 and 9."""
    async with bench(slots=1) as b:
        await b.spawn("running")
        await b.spawn("queued")
        b.gate.refuse_new(reason)
        await b.spawn("new")
        assert b.outcomes["queued"] == not_run(reason)
        assert not await b.gate.drained(0.05)
        b.target.release()
        assert await b.gate.drained(1)
        await anyio.wait_all_tasks_blocked()
        assert b.outcomes["new"] == not_run(reason)
        assert b.outcomes["running"] == b"arunning"
        assert b.sent() == ["running"]
        b.gate.refuse_new(None)
        assert await b.call("again") == b"aagain"


async def test_resend_while_refusing_is_answered_from_the_log():
    """Points 6 and 7: what ran is not called unrun."""
    async with bench() as b:
        b.target.release()
        assert await b.call("r", idempotent=False) == b"ar"
        b.gate.refuse_new(Reason.DRAINING)
        assert await b.call("r", idempotent=False) == b"ar"
        assert b.sent() == ["r"]


async def test_leaving_target_gets_no_new_work():
    """Point 8, without a word from the daemon."""
    async with bench() as b:
        b.target.release()
        b.target.leaving = True
        await anyio.sleep(0.4)
        assert await b.call() == not_run(Reason.DRAINING)


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
    """Points 1 and 6: the lease is checked right before dispatch."""
    async with bench(slots=1) as b:
        await b.spawn("first")
        await b.spawn("queued")
        b.permits.lease_ends_at = 0.0
        b.target.release()
        await anyio.sleep(0.01)
        assert b.outcomes["queued"] == not_run(Reason.NO_LEASE)
        assert b.sent() == ["first"]


@pytest.mark.parametrize("renewed", [True, False])
async def test_lease_end_cancels_work(renewed):
    """Point 1: work outlives the first lease only if it is renewed."""
    async with bench() as b:
        b.permits.lease_ends_at = BootClock().now() + 0.2
        await b.spawn("long")
        if renewed:
            b.permits.permit.expires_at += 3600
        await anyio.sleep(0.4)
        b.target.release()
        await anyio.sleep(0.01)
        expected = Verdict.MAY_HAVE_RUN, Reason.NO_LEASE
        assert b.outcomes["long"] == (b"along" if renewed else expected)
        assert b.permits.entered == 0


async def test_slot_and_permit_held_until_abandoned_work_ends():
    """Points 1 and 3: a caller that goes away frees nothing early."""
    async with bench(slots=1) as b:
        b.target.cancel_ends = False
        with anyio.move_on_after(0.05):
            await b.call("gone")
        assert (b.gate.stats.in_flight, b.permits.entered) == (1, 1)
        await b.spawn("next")
        assert b.sent() == ["gone"]
        b.target.cancel_ends = True
        b.target.release()
        await anyio.sleep(0.3)
        assert b.outcomes["next"] == b"anext"
        assert b.permits.entered == 0


async def test_cold_start_limits_work():
    """Point 3: one slot more per step of completions."""
    async with bench(slots=3, cold_slots=1, ramp_step=4) as b:
        for index in range(9):
            await b.spawn(f"r{index}")
        assert b.target.most_running == 1
        b.target.release()
        await anyio.sleep(0.05)
        assert len(b.outcomes) == 9
        assert b.gate.stats.limit == 3
        again = FakeTarget("boot-2")
        info = make_target_info(slots=3, cold_slots=1, boot_id="boot-2")
        b.gate.announced(info, again)
        for index in range(3):
            await b.spawn(f"s{index}")
        assert (b.gate.stats.limit, again.running) == (1, 1)


async def test_request_for_other_service():
    async with bench() as b:
        outcome = await b.call(service="dispatch")
        assert outcome == not_run(Reason.UNKNOWN_SERVICE)


async def test_request_id_in_flight():
    """Point 5: the target cancels by request id."""
    async with bench() as b:
        await b.spawn("r1")
        assert await b.call("r1") == not_run(Reason.DUPLICATE)


async def test_repeated_announcement_keeps_target():
    async with bench() as b:
        info = make_target_info(slots=4, cold_slots=4)
        assert not b.gate.announced(info, FakeTarget())
        assert b.gate.target is b.target


async def test_queue_full():
    async with bench(slots=1, queue_length=1) as b:
        await b.spawn("running")
        await b.spawn("queued")
        assert await b.call("third") == not_run(Reason.QUEUE_FULL)


async def test_resend_answered_from_log():
    """Point 7: also while the first is in flight."""
    async with bench() as b:
        await b.spawn("book", idempotent=False)
        await b.spawn("book", caller="other", idempotent=False)
        b.target.release()
        await anyio.sleep(0.01)
        assert await b.call("book", idempotent=False) == b"abook"
        assert b.outcomes["other"] == b"abook"
        assert b.sent() == ["book"]


async def test_resend_of_other_request_with_same_id():
    """Point 5: nobody gets the answer to another request."""
    async with bench() as b:
        b.target.release()
        await b.call("book", idempotent=False)
        outcome = await b.call("book", idempotent=False, path="/other")
        assert outcome == not_run(Reason.BAD_REQUEST)


async def test_resend_after_abandoned_request():
    """Point 7."""
    async with bench() as b:
        with anyio.move_on_after(0.05):
            await b.call("book", idempotent=False)
        b.target.release()
        outcome = await b.call("book", idempotent=False)
        assert outcome == (Verdict.MAY_HAVE_RUN, Reason.DUPLICATE)
        assert b.sent() == ["book"]


async def test_resend_after_not_run():
    async with bench() as b:
        b.target.release()
        b.target.refusal = Refusal(Verdict.NOT_RUN, Reason.TARGET_SHED)
        outcome = await b.call("book", idempotent=False)
        assert outcome == not_run(Reason.TARGET_SHED)
        b.target.refusal = None
        assert await b.call("book", idempotent=False) == b"abook"


async def test_not_run_of_callers_own_code_is_not_believed():
    """Point 7: after the answer only the log's verdict counts."""
    async with bench() as b:
        b.target.release()
        req = make_gate_request("book", idempotent=False)
        with pytest.raises(Refusal):
            async with b.gate.serve(req):
                raise Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE)
        outcome = await b.call("book", idempotent=False)
        assert outcome == (Verdict.MAY_HAVE_RUN, Reason.DUPLICATE)


async def test_stalled_target_stops_progress():
    """Point 1: a daemon with a frozen target gives its units up."""
    async with bench() as b:
        b.target.silent = True
        await anyio.sleep(0.4)
        assert b.gate.progressing
        await b.spawn("stuck")
        await anyio.sleep(0.4)
        assert not b.gate.progressing
        b.target.silent = False
        await anyio.sleep(0.3)
        assert b.gate.progressing


async def test_wait_that_will_be_too_long_is_refused_at_once():
    """Point 6: a refusal under overload is fast."""
    async with bench(slots=1, queue_wait_s=0.15) as b:
        for number in range(3):
            b.tasks.start_soon(b.call, f"first-{number}")
            await anyio.sleep(0.1)
            b.target.release()
            await anyio.wait_all_tasks_blocked()
            b.target.open = anyio.Event()
        await b.spawn("running")
        await b.spawn("waits")
        await b.spawn("refused")
        assert b.outcomes["refused"] == not_run(Reason.QUEUE_FULL)
        assert "waits" not in b.outcomes
