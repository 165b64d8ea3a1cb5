"""Admission to a limited number of slots, with a queue."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.forward.slots import Slots
from burdockgap.verdict import Reason, Refusal, Verdict

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def record_admission(
    slots, order, name, *, priority=1, wait_s=1.0, **fields
):
    try:
        await slots.acquire(priority=priority, wait_s=wait_s, **fields)
        order.append(name)
    except Refusal as exc:
        order.append((name, exc.verdict, exc.reason))


async def test_urgent_request_is_admitted_first():
    slots, order = Slots(size=1, queue_size=4), []
    await slots.acquire(priority=1, wait_s=1.0)
    async with asyncio.TaskGroup() as tasks:
        for name, priority in (("late", 2), ("early", 2), ("urgent", 0)):
            tasks.create_task(
                record_admission(slots, order, name, priority=priority)
            )
            await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0.01)
            slots.release()
    assert order == ["urgent", "late", "early"]


async def test_full_queue_refuses_the_least_urgent():
    slots, order = Slots(size=1, queue_size=1), []
    await slots.acquire(priority=1, wait_s=1.0)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(record_admission(slots, order, "idle", priority=3))
        await asyncio.sleep(0)
        tasks.create_task(record_admission(slots, order, "urgent", priority=0))
        await asyncio.sleep(0.01)
        slots.release()
    assert order == [
        ("idle", Verdict.NOT_RUN, Reason.QUEUE_FULL),
        "urgent",
    ]


async def test_wait_times_out():
    slots, order = Slots(size=1, queue_size=1), []
    await slots.acquire(priority=1, wait_s=1.0)
    await record_admission(slots, order, "slow", wait_s=0.02)
    assert order == [("slow", Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT)]
    assert slots.waiting == 0


async def test_wait_that_is_over_is_no_matter_of_the_rate():
    slots, order = Slots(size=1, queue_size=1), []
    await slots.acquire(priority=1, wait_s=1.0)
    await record_admission(slots, order, "late", wait_s=-0.01)
    assert order == [("late", Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT)]


async def test_cancelled_wait_frees_slot_and_queue():
    slots = Slots(size=1, queue_size=1)
    await slots.acquire(priority=1, wait_s=1.0)
    task = asyncio.create_task(slots.acquire(priority=1, wait_s=1.0))
    await asyncio.sleep(0)
    slots.release()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert (slots.in_flight, slots.waiting) == (0, 0)


async def test_resize_admits_the_queue():
    slots, order = Slots(size=1, queue_size=2), []
    await slots.acquire(priority=1, wait_s=1.0)
    task = asyncio.create_task(record_admission(slots, order, "next"))
    await asyncio.sleep(0)
    slots.resize(2)
    await task
    assert order == ["next"]
    assert slots.in_flight == 2


async def test_refusal_and_cancellation_in_one_turn_free_no_slot():
    slots = Slots(size=1, queue_size=1)
    await slots.acquire(priority=1, wait_s=1.0)
    task = asyncio.create_task(slots.acquire(priority=1, wait_s=1.0))
    await asyncio.sleep(0)
    slots.refuse_waiting(Reason.DRAINING)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert slots.in_flight == 1


# QUEUE: calls made by running requests were refused behind two waiting
# new requests, and the work of the requests that made them was lost.
async def test_nested_call_goes_before_all_priorities():
    slots, order = Slots(size=1), []
    await slots.acquire(priority=1, wait_s=1.0)
    async with asyncio.TaskGroup() as tasks:
        for name, nested in (("new", False), ("nested", True)):
            tasks.create_task(
                record_admission(
                    slots,
                    order,
                    name,
                    priority=5 * nested,
                    nested=nested,
                )
            )
            await asyncio.sleep(0)
        for _ in range(2):
            await asyncio.sleep(0.01)
            slots.release()
    assert order == ["nested", "new"]


async def test_request_that_would_start_too_late_is_refused_at_once():
    slots, order = Slots(size=1, mean_s=lambda: 0.2), []
    await slots.acquire(priority=1, wait_s=1.0)
    began = asyncio.get_running_loop().time()
    await record_admission(slots, order, "late", wait_s=0.09)
    assert asyncio.get_running_loop().time() - began < 0.05
    assert order == [("late", Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT)]


async def test_request_pushed_beyond_its_latest_start_is_refused_at_once():
    slots, order = Slots(size=1, mean_s=lambda: 0.2), []
    await slots.acquire(priority=1, wait_s=1.0)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(record_admission(slots, order, "new", wait_s=0.2))
        await asyncio.sleep(0)
        tasks.create_task(
            record_admission(
                slots, order, "nested", nested=True, service_s=0.2
            )
        )
        await asyncio.sleep(0.01)
        assert order == [("new", Verdict.NOT_RUN, Reason.QUEUE_FULL)]
        slots.release()
    assert order[1:] == ["nested"]


async def test_call_cancelled_in_the_queue_takes_no_slot_and_no_token():
    """The slot is released before the cancelled task has run again."""
    slots, order = Slots(size=1), []
    await slots.acquire(priority=1, wait_s=1.0)
    task = asyncio.create_task(slots.acquire(priority=1, wait_s=1.0))
    await asyncio.sleep(0)
    after = asyncio.create_task(record_admission(slots, order, "after"))
    await asyncio.sleep(0)
    task.cancel()
    slots.release()
    await asyncio.gather(task, return_exceptions=True)
    await after
    assert order == ["after"]
    assert slots.in_flight == 1
