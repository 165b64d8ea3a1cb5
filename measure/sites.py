"""Plans sites for measurement and queries them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpx

from standins.cluster.server_plan import ServerPlan

if TYPE_CHECKING:
    from standins.cluster import Cluster, Server

SERVICE = "records"
DATA_CENTRES = ("d1", "d2", "d3", "d4", "d5", "d6")
_FIRST_OF_SECOND_REGION = 3
_OWNED_TIMEOUT_S = 60.0
_POLL_S = 0.2


def plan_servers(
    count: int, *, slots: int = 6, service_ms: float = 1.0
) -> list[ServerPlan]:
    """
    Return plans of servers in six data centres of two regions.

    :param slots: requests that each target runs at once, also while
        it is cold.
    :param service_ms: time a target takes for a request.
    """
    return [
        ServerPlan(
            name=f"{SERVICE}-{index}",
            service=SERVICE,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            region=_region_of(index),
            slots=slots,
            target_args=(
                "--cold-slots",
                str(slots),
                "--service-ms",
                str(service_ms),
            ),
        )
        for index in range(count)
    ]


def make_document(slices: int, *, deadline_ms: int = 4000) -> str:
    """Return a configuration document with one keyed service."""
    return f"""\
[services.{SERVICE}]
keyed = true
slices = {slices}
profile = "lookup"
path_prefix = "/{SERVICE}"

[profiles.lookup]
idempotent = true
deadline_ms = {deadline_ms}
"""


async def wait_all_owned(cluster: Cluster, slices: int) -> None:
    """
    Wait until every slice has an owner.

    :raises TimeoutError: after ``_OWNED_TIMEOUT_S``.
    """
    server = next(iter(cluster.servers.values()))
    with anyio.fail_after(_OWNED_TIMEOUT_S):
        while True:
            status = await cluster.status(server)
            if sum(daemon["units"] for daemon in status["daemons"]) >= slices:
                return
            await anyio.sleep(_POLL_S)


async def find_coordinator(cluster: Cluster) -> str:
    """Return the coordinator's name as the first daemon reports it."""
    server = next(iter(cluster.servers.values()))
    status = await cluster.status(server)
    return str(status["coordinator"])


async def keys_by_owner(
    cluster: Cluster, client: httpx.AsyncClient, count: int
) -> dict[str, list[str]]:
    """
    Return generated keys by the name of the owning daemon.

    :param count: number of keys.
    """
    server = next(iter(cluster.servers.values()))
    keys: dict[str, list[str]] = {}
    for index in range(count):
        key = f"key-{index}"
        reply = await client.get(
            f"{server.admin_url}/v1/owner",
            params={"service": SERVICE, "key": key},
        )
        keys.setdefault(reply.json()["daemon"], []).append(key)
    return keys


async def send_request(
    client: httpx.AsyncClient, server: Server, key: str, timeout_s: float
) -> bool:
    """Return whether a request for a key got a success status."""
    try:
        reply = await client.get(
            f"{server.url}/{SERVICE}/x",
            headers={"burdockgap-key": key},
            timeout=timeout_s,
        )
    except httpx.TransportError:
        return False
    return reply.is_success


def _region_of(index: int) -> str:
    second = index % len(DATA_CENTRES) >= _FIRST_OF_SECOND_REGION
    return "r2" if second else "r1"
