"""Callers of the soak report configurations that are not in force."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest

from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from soak import traffic
from soak.invariants import InvariantChecker
from soak.machine import CALLERS_PORT, READY_PORT
from soak.traffic import Traffic

pytestmark = pytest.mark.anyio
HOST = "127.19.0.1"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def machine():
    """Serve all routes but that of version 2."""

    async def answer(req):
        if req.path == "/v2/x":
            return Response(404)
        return Response(200, [], (req.header("attempt-id") or "").encode())

    async with AsyncExitStack() as stack:
        for port in (CALLERS_PORT, READY_PORT):
            await stack.enter_async_context(
                open_server(Server(answer), HOST, port)
            )
        yield SimpleNamespace(
            name="m0",
            real=HOST,
            incarnation="m0#1",
            undisturbed_s=lambda: 60.0,
        )


def site_of(machine, *, version, store_undisturbed_s=60.0):
    now = asyncio.get_running_loop().time()
    return SimpleNamespace(
        machines=[machine],
        checker=InvariantChecker(),
        operators=SimpleNamespace(version=version, changed_at=now - 2.1),
        store_undisturbed_s=lambda: store_undisturbed_s,
    )


@pytest.mark.parametrize(("version", "broken"), [(1, 0), (2, 1)])
async def test_newest_version_must_be_served_after_the_faults(
    machine, version, broken, monkeypatch
):
    monkeypatch.setattr(traffic, "_RECOVERY_TIMEOUT_S", 0.3)
    site = site_of(machine, version=version)
    await Traffic(site, random.Random(1)).wait_recovered()
    lines = site.checker.violations
    assert len(lines) == broken
    assert all("RECOVER m0 lacks version 2" in line for line in lines)


@pytest.mark.parametrize(
    ("store_undisturbed_s", "late"), [(2.9, False), (3.1, True)]
)
async def test_version_is_due_when_the_store_is_stable(
    machine, store_undisturbed_s, late, monkeypatch
):
    monkeypatch.setattr(traffic, "_PROBE_INTERVAL_S", 0.05)
    site = site_of(machine, version=2, store_undisturbed_s=store_undisturbed_s)
    callers = Traffic(site, random.Random(1))
    task = asyncio.create_task(callers.run())
    await asyncio.sleep(0.4)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    lines = site.checker.violations
    assert bool(lines) == late
    assert all("CONFIG m0#1 does not know 2" in line for line in lines)
