"""Starts the site that the traffic policy is measured on."""

from __future__ import annotations

import re
import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.cluster import ServerPlan, open_cluster
from standins.cluster.launch import Launch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standins.cluster import Cluster, Server

SERVICE = "library"
_DATA_CENTRES = ("d1", "d2")
_READY_TIMEOUT_S = 20.0
_POLL_S = 0.1

_DOCUMENT = """\
[services.{service}]
profile = "lookup"
path_prefix = "/{service}"

[profiles.lookup]
idempotent = true
deadline_ms = 4000
{extra}
"""


@asynccontextmanager
async def open_site(
    count: int,
    *,
    variant: str = "product",
    profile: str = "",
    slots: int = 6,
    target: str = "--service-ms 5 --cold-slots 6",
) -> AsyncIterator[Cluster]:
    """
    Start servers of one unkeyed service in two data centres.

    :param count: number of servers.
    :param variant: ``product`` for the unchanged policy, or a variant
        of :mod:`measure.traffic.daemon`.
    :param profile: more TOML lines for the profile.
    :param slots: requests that each target runs at once.
    :param target: command-line options of the targets.
    """
    plans = [
        ServerPlan(
            name=f"{SERVICE}-{index}",
            service=SERVICE,
            data_centre=_DATA_CENTRES[index % len(_DATA_CENTRES)],
            slots=slots,
            target_args=tuple(target.split()),
        )
        for index in range(count)
    ]
    async with open_cluster(plans) as cluster:
        if variant != "product":
            for server in cluster.servers.values():
                _set_variant(server, variant)
        await cluster.start()
        text = _DOCUMENT.format(service=SERVICE, extra=profile)
        await cluster.publish(text)
        for server in cluster.servers.values():
            await _wait_serving(server)
        yield cluster


def _set_variant(server: Server, variant: str) -> None:
    server.daemon.launch = Launch(
        command=[sys.executable, "-m", "measure.traffic.daemon", variant]
    )


async def _wait_serving(server: Server) -> None:
    """
    Wait until a request to a daemon succeeds.

    :raises TimeoutError: after ``_READY_TIMEOUT_S``.
    """
    async with httpx.AsyncClient() as client:
        with anyio.fail_after(_READY_TIMEOUT_S):
            while True:
                reply = await client.get(f"{server.url}/{SERVICE}/ready")
                if reply.is_success:
                    return
                await anyio.sleep(_POLL_S)


async def set_fault(server: Server, **faults: Any) -> None:
    """Inject faults into a server's target."""
    url = f"{server.target_url}/_burdockgap/fault"
    async with httpx.AsyncClient() as client:
        (await client.post(url, json=faults)).raise_for_status()


async def read_history(server: Server) -> dict[str, Any]:
    """Return the history of runs that a server's target keeps."""
    url = f"{server.target_url}/_burdockgap/history"
    async with httpx.AsyncClient() as client:
        target_history: dict[str, Any] = (await client.get(url)).json()
        return target_history


async def read_counter(server: Server, name: str) -> float:
    """Return a daemon's counter, summed over all its labels."""
    async with httpx.AsyncClient() as client:
        text = (await client.get(f"{server.admin_url}/metrics")).text
    lines = re.findall(rf"^{name}(?:{{.*}})? (\S+)$", text, re.MULTILINE)
    return sum(float(value) for value in lines)
