from __future__ import annotations

import tempfile
from pathlib import Path

import anyio
import httpx
import pytest

from demo.site import DOCUMENT
from standins.cluster import Cluster
from standins.cluster.server_plan import spread

DATA_CENTRES = ("dc1", "dc2", "dc3")
SERVED_TIMEOUT_S = 20


async def _start(cluster):
    await cluster.start()
    await cluster.publish(DOCUMENT)
    async with httpx.AsyncClient() as client:
        with anyio.fail_after(SERVED_TIMEOUT_S):
            for server in cluster.servers.values():
                while (await _post(client, server)).status_code != 200:
                    await anyio.sleep(0.1)


async def _post(client, server):
    return await client.post(
        f"{server.url}/records/pump-1", headers={"Burdockgap-Key": "pump-1"}
    )


@pytest.fixture(scope="package")
def site():
    """Start a site; each test must restore the state it changes."""
    with tempfile.TemporaryDirectory() as folder:
        plans = [
            *spread("records", 3, DATA_CENTRES),
            *spread("dispatch", 1, DATA_CENTRES),
        ]
        cluster = Cluster(folder=Path(folder), plans=plans)
        try:
            anyio.run(_start, cluster)
            yield cluster
        finally:
            cluster.stop()


@pytest.fixture
def server(site):
    return site.servers["records-1"]
