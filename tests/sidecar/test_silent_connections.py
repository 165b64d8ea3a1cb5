"""Daemon processes whose open connections fall silent for good."""

from __future__ import annotations

import asyncio
import random

import pytest

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from soak.machine import CALLERS_PORT
from soak.site import open_site

pytestmark = pytest.mark.anyio

SIZE = 9
POLL_S = 0.05
APPLY_S = 2.0
"""Bound for a configuration, from its acknowledgement."""
RESET_EXCUSE_S = 3.0
"""The same from a disruption of connections."""
START_TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Probe:
    """Asks one machine for the newest routes, over and over."""

    def __init__(self, machine):
        self._loop = asyncio.get_running_loop()
        self.machine = machine
        self._pool = ClientPool(
            (machine.real, CALLERS_PORT), connect_timeout_s=0.5, idle_s=10.0
        )
        self._number = 0

    async def status(self, path, key=None):
        self._number += 1
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", f"{self.machine.name}-{self._number}"),
            ("Deadline-Milliseconds", "600"),
        ]
        if key is not None:
            headers.append(("Shard-Key", str(key)))
        try:
            async with asyncio.timeout(0.7):
                response = await self._pool.exchange(
                    encode_request("GET", path, headers)
                )
        except (ExchangeError, TimeoutError):
            return 0
        return response.status

    async def last_miss(self, path, until):
        """Return when a request got 404 last, ``None`` if none did."""
        missed_at = None
        while (now := self._loop.time()) < until:
            if await self.status(path) == 404:
                missed_at = now
            await asyncio.sleep(POLL_S)
        return missed_at


async def send_keyed(probes, rng):
    while True:
        probe = rng.choice(probes)
        await probe.status("/read/x", key=rng.randrange(65536))
        await asyncio.sleep(0.02)


async def wait_started(probes):
    async with asyncio.timeout(START_TIMEOUT_S):
        for probe in probes:
            while await probe.status("/v1/x") != 200:
                await asyncio.sleep(0.1)


async def late_machines(site, probes, rng, **shares):
    """Return the machines on which a new route came into force late."""
    loop = asyncio.get_running_loop()
    site.relay.silence(rng, **shares)
    silent_at = loop.time()
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    site.operators.change_configuration()
    path = f"/v{site.operators.version}/x"
    bound = max(loop.time() + APPLY_S, silent_at + RESET_EXCUSE_S)
    missed = await asyncio.gather(
        *(probe.last_miss(path, bound + 2.0) for probe in probes)
    )
    return {
        probe.machine.name: round(at - silent_at, 2)
        for probe, at in zip(probes, missed, strict=True)
        if at is not None and at > bound
    }


# CONFIG: with connections to the store and between daemons silent at
# once, daemons kept an outdated configuration for up to 5 s.
@pytest.mark.parametrize(
    ("store_share", "peer_share", "seed"),
    [(1.0, 1.0, 1), (0.7, 0.7, 2)],
)
async def test_configuration_is_in_force_in_time(
    store_share, peer_share, seed, tmp_path
):
    rng = random.Random(seed)
    net = f"127.{200 + seed}"
    async with open_site(net=net, folder=tmp_path, size=SIZE) as site:
        probes = [Probe(machine) for machine in site.machines]
        load = [Probe(machine) for machine in site.machines]
        await wait_started(probes)
        traffic = asyncio.create_task(send_keyed(load, rng))
        late = [
            await late_machines(
                site,
                probes,
                rng,
                store_share=store_share,
                peer_share=peer_share,
            )
            for _ in range(3)
        ]
        traffic.cancel()
    assert late == [{}, {}, {}]
