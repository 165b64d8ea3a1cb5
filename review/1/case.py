"""Two regions lose each other for a minute; looks at what follows."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from typing import TYPE_CHECKING

from burdockgap.http1.client_pool import ClientPool
from review.common.owner_rule import find_double_holds
from review.common.play import BROKEN, HELD, NOT_RUN, run_case
from review.common.site import Machine, Site, ask, open_site
from standins.relay.links import LOG

if TYPE_CHECKING:
    from review.common.record import Record

_REGIONS = {"mansoura": "delta", "tanta": "delta", "zagazig": "fayoum"}
_PLAN = [
    (f"sidecar-{zone}-{number}", zone, service)
    for zone in _REGIONS
    for number, service in ((1, "records"), (2, "records"), (3, "dispatch"))
]
_CALM_S = 3.0
_CUT_S = 65.0
_AFTER_S = 25.0
_SETTLED_S = 15.0
"""The longest bound of the rules, from the end of the disruption."""
_KEYS = [65536 * number // 32 + 7 for number in range(32)]
_INTERVAL_S = 0.1


async def _send_requests(machine: Machine, record: Record) -> None:
    pool = ClientPool(machine.callers, connect_timeout_s=0.5, idle_s=5.0)
    for number in itertools.count():
        key = _KEYS[number % len(_KEYS)]
        request_id = f"{machine.name}-{number}"
        await ask(pool, request_id, "/history/x", record, key=key)
        await asyncio.sleep(_INTERVAL_S)


async def _cut(site: Site, record: Record) -> float:
    """Cut a region off; return the time at which it was healed."""
    by_region = {
        region: [
            item.name
            for item in site.machines
            if _REGIONS[item.zone] == region
        ]
        for region in _REGIONS.values()
    }
    record.write(f"of {by_region}, fayoum loses delta and the store")
    others = [*by_region["delta"], LOG]
    site.links.cut(others, by_region["fayoum"])
    site.links.cut(by_region["fayoum"], others)
    await asyncio.sleep(_CUT_S)
    site.links.heal()
    record.write("links are healed")
    return asyncio.get_running_loop().time()


async def _play(record: Record, trouble: bool) -> int:
    async with open_site(_PLAN, record, regions=_REGIONS) as site:
        if not await site.wait_until_ready():
            record.result("the site did not become ready")
            return NOT_RUN
        clients = [
            asyncio.create_task(_send_requests(item, record))
            for item in site.machines
            if item.service == "dispatch"
        ]
        await asyncio.sleep(_CALM_S)
        if trouble:
            healed_at = await _cut(site, record)
        else:
            await asyncio.sleep(_CUT_S)
            healed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(_AFTER_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        served = sum(len(item.server.runs) for item in site.machines)
        if not served:
            record.result("no request was served")
            return NOT_RUN
        found = find_double_holds(
            site, healed=[healed_at], since_s=healed_at + _SETTLED_S
        )
    for text in found:
        record.result(f"OWNER: {text}")
    record.result(f"{served} requests run, {len(found)} violations")
    return BROKEN if found else HELD


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(__file__, _play, trouble=trouble))
