"""Limits and stops that servers announce in their responses."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import asynccontextmanager

import pytest

from tests.sidecar.builders import open_site, restart

pytestmark = pytest.mark.anyio

STABILITY_WINDOW_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
DRAIN_S = 2.0
LIMIT_PER_S = 10.0
CALLS_PER_S = 90


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def under_load(machines, path, **fields):
    """Send requests through several daemons until the context exits."""
    answers = []

    async def ask(machine):
        answers.append(await machine.ask(path, **fields))

    async def send():
        async with asyncio.TaskGroup() as tasks:
            for machine in itertools.cycle(machines):
                tasks.create_task(ask(machine))
                await asyncio.sleep(1 / CALLS_PER_S)

    task = asyncio.create_task(send())
    try:
        yield answers
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def most_in_window(times, since):
    """Return the most arrivals in any window from a time on."""
    times = [time for time in times if time >= since]
    return max(
        (
            sum(start <= time < start + WINDOW_S for time in times)
            for start in times
        ),
        default=0,
    )


def allowed(limit_per_s):
    return OVERAGE * limit_per_s * WINDOW_S + SLACK


# LIMIT: servers got all requests, whatever limit they named.
async def test_servers_get_no_more_requests_than_they_name():
    async with open_site("dispatch", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        for machine in site.machines:
            machine.app.notices = [("Server-Limit", f"{LIMIT_PER_S}")]
        named_at = asyncio.get_running_loop().time()
        async with under_load(site.machines, "/crew/1") as answers:
            await asyncio.sleep(STABILITY_WINDOW_S + WINDOW_S + 0.5)
    since = named_at + STABILITY_WINDOW_S
    for machine in site.machines:
        most = most_in_window(machine.app.arrivals, since)
        assert most <= allowed(LIMIT_PER_S)
        # The limit is what the server takes, so callers get that much.
        assert most >= 0.8 * LIMIT_PER_S * WINDOW_S
    refused = [item for item in answers if item.status == 503]
    assert refused
    assert all(float(item.header("retry-after")) > 0 for item in refused)


# LIMIT: a daemon that started again sent its server all requests.
async def test_limit_holds_after_a_restart_of_the_daemon():
    limit_per_s = 1.0
    async with open_site("dispatch", "alerts", "alerts") as site:
        limited, *others = site.machines
        await site.wait_until(
            lambda: all(
                machine.node.roster.servers("dispatch")
                for machine in site.machines
            )
        )
        limited.app.work_s = 0.2
        limited.app.notices = [("Server-Limit", f"{limit_per_s}")]
        named_at = asyncio.get_running_loop().time()
        async with under_load(others, "/crew/1"):
            await asyncio.sleep(STABILITY_WINDOW_S)
            for _ in range(2):
                await limited.kill()
                await asyncio.sleep(0.1)
                await limited.start()
                await asyncio.sleep(WINDOW_S / 2)
    most = most_in_window(limited.app.arrivals, named_at + STABILITY_WINDOW_S)
    assert most <= allowed(limit_per_s)


# LIMIT: the owner of keys got all requests for them.
async def test_limited_owner_of_keys_gives_keys_away():
    async with open_site("records", "records", "records") as site:
        await site.wait_until_ready()
        limited = site.machines[0]
        limited.app.notices = [("Server-Limit", f"{LIMIT_PER_S}")]
        named_at = asyncio.get_running_loop().time()
        keys = itertools.cycle(range(0, 65536, 331))
        answers = []

        async def ask(machine, key):
            answers.append(await machine.ask("/read/1", key=key))

        async with asyncio.TaskGroup() as tasks:
            for machine in itertools.cycle(site.machines):
                tasks.create_task(ask(machine, next(keys)))
                await asyncio.sleep(1 / CALLS_PER_S)
                now = asyncio.get_running_loop().time()
                if now > named_at + STABILITY_WINDOW_S + WINDOW_S + 0.5:
                    break
    most = most_in_window(limited.app.arrivals, named_at + STABILITY_WINDOW_S)
    assert most <= allowed(LIMIT_PER_S)
    late = answers[-2 * CALLS_PER_S :]
    served = sum(item.status == 200 for item in late)
    assert served >= 0.9 * len(late)


async def arrivals_after_leaving(leaving, callers, path, *, restart):
    """
    Return the requests that reach a server later than its drain time.

    :param restart: whether its daemon starts again meanwhile.
    """
    async with under_load(callers, path):
        await asyncio.sleep(0.5)
        leaving.app.notices = [("Server-Leaving", "1")]
        # Each caller's daemon passes on an answer that says so.
        await asyncio.sleep(0.5)
        if restart:
            await leaving.kill()
            await asyncio.sleep(0.1)
            await leaving.start()
        told_at = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S + 2.0)
    return [time for time in leaving.app.arrivals if time > told_at + DRAIN_S]


# DRAIN: a server that said in its answers, but not in its heartbeats,
# that it leaves went on getting requests.
@pytest.mark.parametrize("restart", [False, True])
async def test_server_that_says_it_leaves_gets_no_more_requests(restart):
    async with open_site("dispatch", "alerts", "alerts") as site:
        leaving, *callers = site.machines
        await site.wait_until_ready()
        assert not await arrivals_after_leaving(
            leaving, callers, "/crew/1", restart=restart
        )


# DRAIN: the same for an owner of keys.
async def test_owner_that_says_it_leaves_gives_its_keys_away():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
        leaving, other = site.machines
        leaving.app.notices = [("Server-Leaving", "1")]
        keys = itertools.cycle(range(0, 65536, 331))
        answers = []

        async def ask(key):
            answers.append(await other.ask("/read/1", key=key))

        began = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            while asyncio.get_running_loop().time() < began + DRAIN_S + 2:
                tasks.create_task(ask(next(keys)))
                await asyncio.sleep(1 / CALLS_PER_S)
    assert not [
        time for time in leaving.app.arrivals if time > began + 0.5 + DRAIN_S
    ]
    late = answers[-CALLS_PER_S:]
    assert all(answer.status == 200 for answer in late)


# DRAIN: a server that had deregistered was in use again once its daemon
# had started again and a late heartbeat of it arrived.
@pytest.mark.parametrize("says_so", ["deregisters", "drains"])
async def test_server_that_left_is_not_used_after_a_restart(says_so):
    async with open_site("dispatch", "alerts") as site:
        left, caller = site.machines
        await site.wait_until_ready()
        if says_so == "deregisters":
            left.node.target.leaving(left.app.target_id)
        else:
            left.send_heartbeat(draining=True)
        await asyncio.sleep(0.3)
        await left.kill()
        await asyncio.sleep(0.1)
        # Its heartbeats say that it is ready, as earlier ones did.
        await left.start()
        began = asyncio.get_running_loop().time()
        async with under_load([caller], "/crew/1") as answers:
            await asyncio.sleep(DRAIN_S + 2.0)
    assert not [time for time in left.app.arrivals if time > began + DRAIN_S]
    assert {answer.status for answer in answers} == {503}


async def late_arrivals(left, callers):
    """Return the requests that reach a server after its drain time."""
    began = asyncio.get_running_loop().time()
    async with under_load(callers, "/crew/1") as answers:
        await asyncio.sleep(DRAIN_S + 1.5)
    late = [time for time in left.app.arrivals if time > began + DRAIN_S]
    return late, answers


# DRAIN: a daemon that had just started acknowledged a deregistration,
# dropped it and used the server when a late heartbeat arrived.
async def test_deregistration_before_the_first_heartbeat_holds():
    async with open_site("dispatch", "alerts") as site:
        left, caller = site.machines
        await site.wait_until_ready()
        left.sends_heartbeats = False
        await restart([left])
        left.node.heartbeats.target_left(left.app.target_id)
        assert await left.node.confirm_departures()
        await asyncio.sleep(0.5)
        left.send_heartbeat()
        late, answers = await late_arrivals(left, [caller])
    assert not late
    assert {answer.status for answer in answers} == {503}


# DRAIN: a departure that had been acknowledged was forgotten when all
# daemons were lost at once: a late heartbeat brought the server back.
@pytest.mark.parametrize("says_so", ["deregisters", "unheard", "drains"])
async def test_departure_outlives_the_loss_of_all_daemons(says_so):
    async with open_site("dispatch", "dispatch", "alerts") as site:
        left, other, caller = site.machines
        await site.wait_until_ready()
        if says_so == "unheard":
            left.sends_heartbeats = False
            await restart([left])
        left.sends_heartbeats = False
        if says_so == "drains":
            left.send_heartbeat(draining=True)
        else:
            left.node.heartbeats.target_left(left.app.target_id)
        assert await left.node.confirm_departures()
        await restart(site.machines)
        left.send_heartbeat()
        await site.wait_until(
            lambda: (
                caller.node.is_ready and caller.node.roster.servers("dispatch")
            )
        )
        late, answers = await late_arrivals(left, [caller, left])
    assert not late
    assert other.app.arrivals
    assert any(answer.status == 200 for answer in answers)


# DRAIN: a departure was lost when the store returned from an older copy
# and all daemons were lost after it.
async def test_departure_is_written_again_after_a_restore():
    async with open_site("dispatch", "alerts") as site:
        left, caller = site.machines
        await site.wait_until_ready()
        copy = site.store.copy()
        left.sends_heartbeats = False
        left.node.heartbeats.target_left(left.app.target_id)
        assert await left.node.confirm_departures()
        site.store.restore(copy)
        await left.node.store.newest("keyed.op")
        await asyncio.sleep(0.5)
        await restart(site.machines)
        left.send_heartbeat()
        await site.wait_until(lambda: caller.node.is_ready)
        late, _ = await late_arrivals(left, [caller])
    assert not late


# A server that starts again under its id would stay unused for good.
async def test_new_process_under_the_id_of_one_that_left_is_used():
    async with open_site("dispatch", "alerts") as site:
        left, caller = site.machines
        await site.wait_until_ready()
        left.node.heartbeats.target_left(left.app.target_id)
        assert await left.node.confirm_departures()
        left.born = time.time_ns() // 1_000_000
        left.sequence = 0
        await restart([left])
        await site.wait_until(lambda: caller.node.roster.servers("dispatch"))
        assert (await caller.ask("/crew/1")).status == 200


# While the store was away, a departure was acknowledged that nothing
# but the memory of the daemons held.
async def test_departure_is_not_acknowledged_without_the_store():
    async with open_site("dispatch", "alerts") as site:
        left, caller = site.machines
        await site.wait_until_ready()
        site.store.down = True
        left.node.heartbeats.target_left(left.app.target_id)
        assert not await left.node.confirm_departures()
        assert (await caller.ask("/crew/1")).status == 503
        site.store.down = False
        await asyncio.sleep(0.6)
        assert await left.node.confirm_departures()
