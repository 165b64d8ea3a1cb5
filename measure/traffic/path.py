"""Latency and processor time that daemons add to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from measure.traffic.callers import Callers
from measure.traffic.site import SERVICE, open_site
from measure.traffic.summary import percentile_ms
from measure.usage import cpu_seconds

if TYPE_CHECKING:
    from measure.recorder import Recorder
    from standins.cluster import Cluster, Server

_REQUESTS = 600
_US_PER_S = 1_000_000


async def measure_path(recorder: Recorder, seed: int) -> None:
    """Record sequential requests, local and with one hop."""
    async with open_site(
        1, target="--service-ms 0 --cold-slots 6"
    ) as single_server_site:
        server = next(iter(single_server_site.servers.values()))
        await _measure(recorder, single_server_site, [server], seed, "local")
    async with open_site(
        2, target="--service-ms 0 --cold-slots 6"
    ) as two_server_site:
        first, second = two_server_site.servers.values()
        await _drain(two_server_site, first)
        await _measure(recorder, two_server_site, [first], seed, "one hop")
        del second


async def _drain(cluster: Cluster, server: Server) -> None:
    """Drain a daemon's target, so that all requests take a hop."""
    async with cluster.operator() as client:
        status = await cluster.status(server)
        reply = await client.post(
            f"{server.admin_url}/v1/targets/{server.name}",
            json={
                "draining": True,
                "author": "measure",
                "against": status["config_version"],
            },
        )
        reply.raise_for_status()


async def _measure(
    recorder: Recorder,
    cluster: Cluster,
    entries: list[Server],
    seed: int,
    name: str,
) -> None:
    callers = Callers(SERVICE, entries, seed=seed)
    for _ in range(50):
        await callers.send_one()
    pids = [server.daemon.pid for server in cluster.servers.values()]
    before = sum(cpu_seconds(pid) for pid in pids)
    answers = [await callers.send_one() for _ in range(_REQUESTS)]
    used = sum(cpu_seconds(pid) for pid in pids) - before
    times = sorted(answer.elapsed_s for answer in answers if answer.is_success)
    direct_p50_ms = await _direct_p50_ms(cluster)
    recorder.add(
        "path",
        path=name,
        good=len(times),
        p50_ms=percentile_ms(times, 0.5),
        p99_ms=percentile_ms(times, 0.99),
        target_p50_ms=direct_p50_ms,
        added_p50_ms=percentile_ms(times, 0.5) - direct_p50_ms,
        daemons_cpu_us=used / _REQUESTS * _US_PER_S,
        served_by=sorted({answer.server for answer in answers}),
    )


async def _direct_p50_ms(cluster: Cluster) -> float:
    """Return the median latency of direct requests to a target."""
    server = list(cluster.servers.values())[-1]
    times = []
    async with httpx.AsyncClient() as client:
        for _ in range(_REQUESTS // 2):
            reply = await client.get(f"{server.target_url}/x")
            times.append(reply.elapsed.total_seconds())
    return percentile_ms(sorted(times), 0.5)
