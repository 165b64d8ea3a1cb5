"""Requests that crash each server that begins to run them."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.fleet.datagrams import SUSPECTS
from burdockgap.gate.fingerprint import fingerprint_of
from tests.sidecar.builders import open_site, restart
from tests.sidecar.crashes import PATH, Crashes

pytestmark = pytest.mark.anyio


LIVES_ON_S = 2.5


@pytest.fixture
def anyio_backend():
    return "asyncio"


# BUDGET: without other requests the end of a server was detected when
# its successor started, too late to be blamed on the request.
async def test_request_is_refused_without_other_traffic():
    async with open_site("dispatch", "dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        caller = site.machines[-1]
        crashes = Crashes(site.machines[:-1])
        assert (await caller.ask(PATH)).status == 502
        await crashes.wait_restarted()
        statuses = [(await caller.ask(PATH)).status for _ in range(3)]
        await crashes.wait_restarted()
        assert statuses == [503] * 3
        assert len(crashes.crashed) == 2
        assert (await caller.ask("/crew/1")).status == 200


# A request must not be blamed for the end of a server that lived on
# after it had closed the request's connection.
async def test_request_with_closed_connections_is_not_blamed():
    async with open_site("dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        *servers, caller = site.machines
        crashes = Crashes(servers, down_s=0.3)
        for machine in servers:
            machine.app.before_run = cut_connections_of(machine)
        assert (await caller.ask("/crew/1")).status == 502
        await asyncio.sleep(LIVES_ON_S)
        for machine in servers:
            machine.app.before_run = lambda _req: None
            await crashes.end(machine)
        await crashes.wait_restarted()
        statuses = {(await caller.ask("/crew/1")).status for _ in range(20)}
    assert statuses == {200}


# BUDGET: a daemon that had started again did not know what all others
# refused, and passed the request on.
async def test_restarted_daemons_refuse_it():
    async with open_site(
        "dispatch", "dispatch", "dispatch", "alerts", "alerts"
    ) as site:
        await site.wait_until_ready()
        *servers, caller, other_caller = site.machines
        crashes = Crashes(servers, down_s=0.5)
        assert (await caller.ask(PATH)).status == 502
        await crashes.wait_restarted()
        statuses = []
        for machine in [*servers, caller, other_caller]:
            await restart([machine])
            await site.wait_until(lambda: has_servers(caller, servers))
            statuses += [(await caller.ask(PATH)).status for _ in range(3)]
            statuses.append((await other_caller.ask(PATH)).status)
        await crashes.wait_restarted()
        assert set(statuses) == {503}
        assert len(crashes.crashed) == 2
        assert (await caller.ask("/crew/1")).status == 200


# BUDGET: what was known of the request was lost with all daemons.
@pytest.mark.parametrize("restored", [False, True])
async def test_refusal_outlives_the_loss_of_all_daemons(restored):
    async with open_site("dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        *servers, caller = site.machines
        crashes = Crashes(servers, down_s=0.5)
        copy = site.store.copy()
        assert (await caller.ask(PATH)).status == 502
        await crashes.wait_restarted()
        if restored:
            site.store.restore(copy)
            await asyncio.gather(
                *(item.node.store.newest("keyed.op") for item in servers)
            )
            await asyncio.sleep(0.5)
        await restart(site.machines)
        await site.wait_until(lambda: has_servers(caller, servers))
        assert (await caller.ask(PATH)).status == 503
        assert len(crashes.crashed) == 2


# BUDGET: the daemon of the caller went on from those that refuse the
# request to those that did not know it yet.
async def test_one_refusal_is_final():
    async with open_site("dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        knowing, unaware, caller = site.machines
        for machine in (unaware, caller):
            machine.node.datagrams.handlers[SUSPECTS] = lambda _values: None
        paths = [f"/crew/{number}" for number in range(20)]
        for path in paths:
            suspect(knowing, path)
        statuses = [(await caller.ask(path)).status for path in paths]
        # Each server is the first choice for some of them.
        assert set(statuses) == {200, 503}
        assert statuses.count(200) == len(unaware.app.runs)


# Callers must not be told to return before the request may be served.
async def test_refusal_says_when_the_request_may_return():
    async with open_site("dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        *servers, caller = site.machines
        crashes = Crashes(servers, down_s=0.5)
        await caller.ask(PATH)
        await crashes.wait_restarted()
        refused = await caller.ask(PATH)
        assert refused.status == 503
        assert 50 < float(refused.header("retry-after")) <= 60


# A request that servers answer must not be refused because it was
# running when others of them crashed.
async def test_answer_elsewhere_ends_the_suspicion():
    async with open_site("dispatch", "dispatch", "dispatch", "alerts") as site:
        await site.wait_until_ready()
        caller = site.machines[-1]
        path = "/crew/1"
        assert (await caller.ask(path)).status == 200
        suspect(caller, path)
        assert (await caller.ask(path)).status == 503
        caller.node.crashes.exchange.announce("dispatch")
        await asyncio.sleep(0.6)
        assert (await caller.ask(path)).status == 200


def suspect(machine, path):
    """Let a daemon know of two crashes that a request was in."""
    fingerprint = fingerprint_of("GET", path, b"")
    for crash in ("m8/1", "m9/1"):
        machine.node.crashes.suspects.crashed("dispatch", crash, [fingerprint])


def has_servers(caller, servers):
    """Return whether a machine may send requests to all servers."""
    return caller.node.is_ready and len(
        caller.node.roster.servers("dispatch")
    ) == len(servers)


def cut_connections_of(machine):
    return lambda _req: machine.cut_app_connections()
