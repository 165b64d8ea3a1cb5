"""Requests that a cold target gets beyond its capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from measure.traffic.callers import Callers
from measure.traffic.site import SERVICE, open_site, read_history, set_fault
from measure.traffic.summary import summarize

if TYPE_CHECKING:
    from measure.recorder import Recorder

_SERVERS = 3
_RATE_PER_S = 120.0
_DURATION_S = 8.0
_TARGET = "--service-ms 30 --cold-slots 1 --warm-step 8"
_PROFILE = "ramp_step = 8\n"


async def measure_cold(recorder: Recorder, seed: int) -> None:
    """Record overload of a restarted and of a silently cold target."""
    for variant in ("product", "no-ramp"):
        for announced in (True, False):
            await _measure(recorder, variant, seed, announced=announced)


async def _measure(
    recorder: Recorder, variant: str, seed: int, *, announced: bool
) -> None:
    async with open_site(
        _SERVERS, variant=variant, profile=_PROFILE, target=_TARGET
    ) as cluster:
        servers = list(cluster.servers.values())
        callers = Callers(SERVICE, servers, seed=seed)
        await callers.run(_RATE_PER_S, 6.0)
        victim = servers[0]
        before = (await read_history(victim))["overloaded"]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.run, _RATE_PER_S, _DURATION_S)
            await anyio.sleep(1.0)
            if announced:
                before = 0
                victim.target.kill()
                victim.target.start()
            else:
                await set_fault(victim, cold=True)
        target_history = await read_history(victim)
        recorder.add(
            "cold",
            policy=variant,
            announced=announced,
            overloaded=target_history["overloaded"] - before,
            most_running=target_history["most_running"],
            runs=len(target_history["runs"]),
            **summarize(callers.answers[-int(_RATE_PER_S * _DURATION_S) :]),
        )
