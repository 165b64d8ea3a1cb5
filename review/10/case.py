"""Requests that crash servers, while daemons are restarted in turn."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path
from typing import TYPE_CHECKING

from review.common2.play import play
from review.common2.poison import MAX_RETRIES, PATH, Poison
from review.common2.site import (
    Site,
    make_limits,
    make_route,
    make_service,
    open_site,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from review.common2.record import Record

_SERVICES = ["dispatch", "dispatch", "dispatch", "records", "records"]
_CLIENT = 4
"""The machine whose clients send; it is not restarted."""
_RESTARTED = (0, 1, 2)
_SETTLE_S = 4.0
_WORK_S = 0.05
_PAUSE_S = 0.03
_POISON_PAUSE_S = 4.5
_FIRST_TIMES = 3
_TIMES = 3
_DOWN_S = 0.5


async def _send_traffic(site: Site) -> None:
    """Send ordinary requests until cancelled."""
    tasks: set[asyncio.Task[object]] = set()
    for number in itertools.count():
        task: asyncio.Task[object] = asyncio.create_task(
            site.machines[_CLIENT].request(
                "POST", f"/order/{number}", attempt=f"order-{number}"
            )
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(_PAUSE_S)


async def _play(site: Site, poison: Poison, *, trouble: bool) -> None:
    """Restart the daemons in turn while the request comes again."""
    numbers = itertools.count()
    await _send_poison(site, poison, numbers, times=_FIRST_TIMES)
    for index in _RESTARTED:
        machine = site.machines[index]
        if trouble:
            await machine.restart(_DOWN_S)
            poison.note_start(machine.name)
        await _send_poison(site, poison, numbers, times=_TIMES)


async def _send_poison(
    site: Site, poison: Poison, numbers: Iterator[int], *, times: int
) -> None:
    for _ in range(times):
        await asyncio.sleep(_POISON_PAUSE_S)
        attempt = f"poison-{next(numbers)}"
        poison.note_sent(attempt)
        await site.machines[_CLIENT].request("GET", PATH, attempt=attempt)


async def _case(record: Record, trouble: bool) -> bool:
    poison = Poison(record, trouble=True, work_s=_WORK_S)
    resources = [
        make_route("stock", "dispatch", "safe"),
        make_route("order", "dispatch", "unsafe"),
        make_route("read", "records", "safe"),
        make_service("dispatch"),
        make_service("records"),
        make_limits(),
    ]
    async with open_site(
        services=_SERVICES,
        resources=resources,
        record=record,
        work=poison.work,
    ) as site:
        await asyncio.sleep(_SETTLE_S)
        traffic = asyncio.create_task(_send_traffic(site))
        await _play(site, poison, trouble=trouble)
        traffic.cancel()
        poison.close()
    return poison.late_retries <= MAX_RETRIES


if __name__ == "__main__":
    play(Path(__file__).parent, _case)
