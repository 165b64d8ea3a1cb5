"""Requests while a data centre is taken out and put back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from measure.traffic.callers import Callers
from measure.traffic.site import SERVICE, open_site, read_history
from measure.traffic.summary import summarize
from standins.target_grants import boottime

if TYPE_CHECKING:
    from measure.recorder import Recorder
    from standins.cluster import Cluster

_SERVERS = 6
_RATE_PER_S = 80.0
_DURATION_S = 6.0
_DELAY_THRESHOLD_S = 0.1
_DATA_CENTRE = "d1"


async def measure_data_centre(recorder: Recorder, seed: int) -> None:
    """Record requests while a data centre goes out and returns."""
    async with open_site(_SERVERS) as cluster:
        callers = Callers(SERVICE, list(cluster.servers.values()), seed=seed)
        await callers.run(_RATE_PER_S, 3.0)
        for name, out in (("leaves", True), ("returns", False)):
            await _measure(recorder, cluster, callers, name, out)


async def _measure(
    recorder: Recorder,
    cluster: Cluster,
    callers: Callers,
    name: str,
    out: bool,
) -> None:
    before = len(callers.answers)
    changed_at = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(callers.run, _RATE_PER_S, _DURATION_S)
        await anyio.sleep(1.0)
        changed_at = boottime()
        await _set_out(cluster, out)
    answers = callers.answers[before:]
    recorder.add(
        "data-centre",
        change=name,
        delayed=sum(
            answer.elapsed_s > _DELAY_THRESHOLD_S for answer in answers
        ),
        last_start_after_s=await _last_start_at(cluster) - changed_at,
        at_data_centre=sum(
            cluster.servers[answer.server].plan.data_centre == _DATA_CENTRE
            for answer in answers
            if answer.server
        ),
        **summarize(answers),
    )


async def _set_out(cluster: Cluster, out: bool) -> None:
    server = next(iter(cluster.servers.values()))
    async with cluster.operator() as client:
        status = await cluster.status(server)
        reply = await client.post(
            f"{server.admin_url}/v1/data-centres/{_DATA_CENTRE}",
            json={
                "out": out,
                "author": "measure",
                "against": status["config_version"],
            },
        )
        reply.raise_for_status()


async def _last_start_at(cluster: Cluster) -> float:
    starts = [
        run["started"]
        for server in cluster.servers.values()
        if server.plan.data_centre == _DATA_CENTRE
        for run in (await read_history(server))["runs"]
        if run["started"] is not None
    ]
    return max(starts, default=0.0)
