"""Requests that crash servers, at a service with little traffic."""

from __future__ import annotations

import asyncio
import random
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
    from review.common2.record import Record

_SERVICES = ["supplies", "supplies", "supplies", "records", "records"]
_SETTLE_S = 5.0
_ROUNDS = 9
_ROUND_S = 6.0
_ORDER_WORK_S = 0.5
_ORDER_DEADLINE_MS = 2000
_POISON_AFTER_S = 0.15


async def _order(site: Site, number: int) -> None:
    """Send two ordinary orders, which are running at the crash."""
    await asyncio.gather(
        *(
            site.machines[index].request(
                "POST",
                f"/order/{number}-{index}",
                attempt=f"order-{number}-{index}",
                deadline_ms=_ORDER_DEADLINE_MS,
                body=b"40 bags",
            )
            for index in (3, 4)
        )
    )


async def _send_poison(site: Site, poison: Poison, number: int) -> None:
    await asyncio.sleep(_POISON_AFTER_S)
    attempt = f"poison-{number}"
    poison.note_sent(attempt)
    machine = random.choice(site.machines)
    await machine.request("GET", PATH, attempt=attempt)


async def _case(record: Record, trouble: bool) -> bool:
    poison = Poison(record, trouble=trouble, work_s=_ORDER_WORK_S)
    resources = [
        make_route("stock", "supplies", "safe"),
        make_route("order", "supplies", "unsafe"),
        make_route("read", "records", "safe"),
        make_service("supplies"),
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
        for number in range(_ROUNDS):
            await asyncio.gather(
                _order(site, number),
                _send_poison(site, poison, number),
                asyncio.sleep(_ROUND_S),
            )
        poison.close()
    return poison.late_retries <= MAX_RETRIES


if __name__ == "__main__":
    play(Path(__file__).parent, _case)
