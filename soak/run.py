"""One soak run."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from soak.crashing_request import CrashingRequest
from soak.faults import Faults
from soak.site import open_site
from soak.traffic import Traffic

if TYPE_CHECKING:
    from pathlib import Path

_SETTLE_S = 4.0
_NET_COUNT = 100
_FIRST_NET = 20


class Result:
    """
    The result of a run.

    :param seed: the seed of the run.
    :param violations: one line for each violated guarantee.
    :param statuses: number of requests by status; 0 means no answer.
    :param faults: one line for each fault, with its start time.
    """

    def __init__(
        self,
        *,
        seed: int,
        violations: list[str],
        statuses: dict[int, int],
        faults: list[str],
    ) -> None:
        self.seed = seed
        self.violations = violations
        self.statuses = statuses
        self.faults = faults


async def run_seed(
    seed: int,
    *,
    seconds: float,
    size: int,
    folder: Path,
    crashing: bool = False,
) -> Result:
    """
    Run a site with the faults and requests of one seed.

    :param seed: determines the faults, the requests and the addresses.
    :param seconds: for how long new faults are started.
    :param size: number of machines.
    :param folder: where settings and outputs are written.
    :param crashing: whether a request that crashes servers is sent; the
        other faults of the seed stay the same.
    """
    began = time.monotonic()
    faults: list[str] = []

    def log(description: str) -> None:
        faults.append(f"{time.monotonic():.3f} {description}")

    log(f"begin, seed {seed}, wall clock {time.time():.3f}")
    net = f"127.{_FIRST_NET + seed % _NET_COUNT}"
    async with open_site(net=net, folder=folder, size=size) as site:
        traffic = Traffic(site, random.Random(f"{seed} traffic"))
        await asyncio.sleep(_SETTLE_S)
        sender = asyncio.create_task(traffic.run())
        faults_of_seed = Faults(
            site,
            random.Random(f"{seed} faults"),
            target_rng=random.Random(f"{seed} endless"),
            store_rng=random.Random(f"{seed} restored"),
            notice_rng=random.Random(f"{seed} notices"),
            departure_rng=random.Random(f"{seed} departures"),
            dark_rng=random.Random(f"{seed} dark"),
            log=log,
        )
        async with asyncio.TaskGroup() as tasks:
            if crashing:
                request = CrashingRequest(
                    site, random.Random(f"{seed} crashing"), log
                )
                ends_at = asyncio.get_running_loop().time() + seconds
                tasks.create_task(request.run(ends_at))
            await faults_of_seed.run(seconds)
        await traffic.wait_recovered()
        site.check_memory()
        sender.cancel()
        await asyncio.gather(sender, return_exceptions=True)
        log(f"end after {time.monotonic() - began:.1f} s")
        return Result(
            seed=seed,
            violations=site.checker.violations,
            statuses=traffic.statuses,
            faults=faults,
        )
