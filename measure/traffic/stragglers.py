"""Tail latency while some targets are slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from measure.traffic.callers import Callers
from measure.traffic.site import SERVICE, open_site, read_counter, set_fault
from measure.traffic.summary import summarize

if TYPE_CHECKING:
    from measure.recorder import Recorder
    from standins.cluster import Cluster, Server

SERVERS = 6
RATE_PER_S = 80.0
SLOWDOWN_FACTOR = 10.0
_TARGET = "--service-ms 20 --cold-slots 6"
_WARM_UP_S = 3.0
_DURATION_S = 10.0
_SLOW_PERIOD_S = 1.0
_HEDGE = "hedge_after_ms = 80\n"
_CASES = (
    ("product", ""),
    ("product+hedge", _HEDGE),
    ("random", ""),
    ("round-robin", ""),
)


async def measure_stragglers(recorder: Recorder, seed: int) -> None:
    """Record latencies of the policy and of simpler ones."""
    for name, profile in _CASES:
        variant = name.partition("+")[0]
        async with open_site(
            SERVERS, variant=variant, profile=profile, target=_TARGET
        ) as cluster:
            await _measure_site(recorder, cluster, name, seed)


async def _measure_site(
    recorder: Recorder, cluster: Cluster, name: str, seed: int
) -> None:
    servers = list(cluster.servers.values())
    callers = Callers(SERVICE, servers, seed=seed)
    await callers.run(RATE_PER_S, _WARM_UP_S)
    for slowed in (0, 1, 2):
        for server in servers[:slowed]:
            await set_fault(server, slow=SLOWDOWN_FACTOR)
        await _measure(recorder, callers, servers, name, f"{slowed} slow")
    for server in servers:
        await set_fault(server, slow=1.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_slow_each_in_turn, servers)
        await _measure(recorder, callers, servers, name, "1 s moments")
        tasks.cancel_scope.cancel()


async def _measure(
    recorder: Recorder,
    callers: Callers,
    servers: list[Server],
    name: str,
    slowed: str,
) -> None:
    hedges = await _count_hedges(servers)
    answers = await callers.run(RATE_PER_S, _DURATION_S)
    slow_names = {server.name for server in servers[: _slow_count(slowed)]}
    at_slow = sum(answer.server in slow_names for answer in answers)
    recorder.add(
        "stragglers",
        policy=name,
        slowed=slowed,
        rate=RATE_PER_S,
        at_slow=at_slow,
        hedges=await _count_hedges(servers) - hedges,
        **summarize(answers),
    )


def _slow_count(slowed: str) -> int:
    return int(slowed.split()[0]) if slowed.endswith("slow") else 0


async def _count_hedges(servers: list[Server]) -> float:
    return sum(
        [
            await read_counter(server, "burdockgap_hedges_total")
            for server in servers
        ]
    )


async def _slow_each_in_turn(servers: list[Server]) -> None:
    while True:
        for server in servers:
            await set_fault(server, slow=SLOWDOWN_FACTOR)
            await anyio.sleep(_SLOW_PERIOD_S)
            await set_fault(server, slow=1.0)
