"""One run of the soak."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from soak.faults import Faults
from soak.site import open_site
from soak.traffic import Traffic

if TYPE_CHECKING:
    from pathlib import Path

_SETTLE_S = 4.0
_NETS = 100
_FIRST_NET = 20


class Result:
    """
    What one run showed.

    :param seed: its seed.
    :param broken: a line for each promise that was broken.
    :param statuses: answers by status; 0 stands for none.
    :param faults: the faults with the time at which each began.
    """

    def __init__(
        self,
        *,
        seed: int,
        broken: list[str],
        statuses: dict[int, int],
        faults: list[str],
    ) -> None:
        self.seed = seed
        self.broken = broken
        self.statuses = statuses
        self.faults = faults


async def run_seed(
    seed: int, *, seconds: float, size: int, folder: Path
) -> Result:
    """
    Run a site under the faults of one seed.

    :param seconds: for how long faults begin.
    :param size: number of machines.
    :param folder: where settings and outputs go.
    """
    began = time.monotonic()
    faults: list[str] = []

    def say(what: str) -> None:
        faults.append(f"{time.monotonic():.3f} {what}")

    say(f"begin, seed {seed}, wall clock {time.time():.3f}")
    net = f"127.{_FIRST_NET + seed % _NETS}"
    async with open_site(net=net, folder=folder, size=size) as site:
        traffic = Traffic(site, random.Random(f"{seed} traffic"))
        await asyncio.sleep(_SETTLE_S)
        sending = asyncio.create_task(traffic.run())
        await Faults(site, random.Random(f"{seed} faults"), say).run(seconds)
        await traffic.recover()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        say(f"end after {time.monotonic() - began:.1f} s")
        return Result(
            seed=seed,
            broken=site.promises.broken,
            statuses=traffic.statuses,
            faults=faults,
        )
