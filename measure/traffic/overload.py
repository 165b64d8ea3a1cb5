"""Goodput below, at and above the targets' capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from measure.traffic.callers import Callers
from measure.traffic.site import SERVICE, open_site
from measure.traffic.summary import summarize

if TYPE_CHECKING:
    from measure.recorder import Recorder

_SERVERS = 4
_SLOTS = 2
_SERVICE_MS = 50
_CAPACITY_PER_S = _SERVERS * _SLOTS * 1000 / _SERVICE_MS
_DURATION_S = 8.0
_LOAD_FACTORS = (0.8, 1.0, 2.0, 3.0, 0.8)


async def measure_overload(recorder: Recorder, seed: int) -> None:
    """Record goodput at rising loads, then at a low one again."""
    async with open_site(
        _SERVERS,
        slots=_SLOTS,
        target=f"--service-ms {_SERVICE_MS} --cold-slots {_SLOTS}",
    ) as cluster:
        servers = list(cluster.servers.values())
        callers = Callers(SERVICE, servers, seed=seed)
        await callers.run(_CAPACITY_PER_S / 2, 2.0)
        for load in _LOAD_FACTORS:
            answers = await callers.run(_CAPACITY_PER_S * load, _DURATION_S)
            figures = summarize(answers)
            recorder.add(
                "overload",
                load=load,
                capacity_per_s=_CAPACITY_PER_S,
                goodput_per_s=figures["good"] / _DURATION_S,
                **figures,
            )
