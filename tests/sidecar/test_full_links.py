"""Daemons whose network link is filled by bodies of requests."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.exchange_error import ExchangeError
from standins.sidecar.documents import make_site_config
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

LINK_BYTES_PER_S = 625_000
BODY = b"x" * 60_000
UPLOADS_PER_S = 30
"""Three times what the link can take."""
FILLED_S = 2.0
APPLY_S = 2.0
"""Bound for a configuration, from its acknowledgement."""
CHANGES = 3


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Uploads:
    """Callers that send bodies through all machines, at a rate."""

    def __init__(self, machines):
        self.machines = machines
        self.served = 0
        self._requests = set()

    async def run(self):
        number = 0
        try:
            while True:
                machine = self.machines[number % len(self.machines)]
                self._requests.add(asyncio.create_task(self._send(machine)))
                number += 1
                await asyncio.sleep(1 / UPLOADS_PER_S)
        finally:
            for task in self._requests:
                task.cancel()

    async def _send(self, machine):
        try:
            answer = await machine.ask("/book/1", method="POST", body=BODY)
        except ExchangeError:
            return
        self.served += answer.status == 200


async def change_configuration(site, machine, number):
    """Return after how long a machine has a new version."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    version = 16 + number
    site.store.put(
        "keyed.op", "config", make_site_config(version=f"{version:08x}")
    )
    while machine.node.documents.config_version < version:
        await asyncio.sleep(0.02)
    return loop.time() - began


# CONFIG: bodies from all members filled the link of the one machine
# with servers for them, and new versions waited behind these for
# seconds.
async def test_configuration_does_not_wait_behind_bodies():
    services = ["dispatch", *["records"] * 7]
    async with open_site(*services, link_rates={1: LINK_BYTES_PER_S}) as site:
        await site.wait_until_ready()
        receiver, *senders = site.machines
        uploads = Uploads(senders)
        task = asyncio.create_task(uploads.run())
        await asyncio.sleep(FILLED_S)
        delays_s = []
        for number in range(CHANGES):
            delays_s.append(await change_configuration(site, receiver, number))
            await asyncio.sleep(1.0)
        task.cancel()
        assert max(delays_s) < APPLY_S
