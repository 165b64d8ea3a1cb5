"""Requests that crash each server that begins to run them."""

from __future__ import annotations

import asyncio

import pytest

from tests.sidecar.builders import open_site
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


def cut_connections_of(machine):
    return lambda _req: machine.cut_app_connections()
