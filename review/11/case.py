"""A new server process gets keys with the token of the one before."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from review.common3.app_server import HEARTBEAT_S
from review.common3.dark_proxy import DarkProxy
from review.common3.site import (
    APP_PORT,
    BROKEN,
    HELD,
    Site,
    UnableError,
    make_config,
    make_route,
    make_service,
    run_case,
)

if TYPE_CHECKING:
    from review.common3.keyed_server import Holds
    from review.common3.record import Record

_KEYS = 65536
_SERVER_PORT = 8311
_INTERVAL_S = 0.2
_CALM_S = 2.0
_DARK_S = 2.0
_BEAT_LATE_S = 0.6
"""A heartbeat may arrive seconds late."""
_THAW_SLACK_S = 0.3
"""Grants that arrive within it after a link healed don't count. No link
was cut here; it is left out all the same."""
_AFTER_S = 4.0


async def _wait_until_held(site: Site) -> None:
    """Wait until the servers hold all keys."""
    deadline = time.monotonic() + 15.0
    while True:
        held = sum(
            hold.last - hold.first + 1
            for machine in site.machines
            for hold in site.holds.current(machine.server.name)
        )
        if held >= _KEYS:
            return
        if time.monotonic() > deadline:
            raise UnableError(f"only {held} keys are held")
        await asyncio.sleep(0.05)


async def _send_traffic(site: Site, first: int, last: int) -> None:
    """Send a few requests a second for the keys of other servers."""
    tasks: set[asyncio.Task[object]] = set()
    count = 0
    while True:
        await asyncio.sleep(_INTERVAL_S)
        key = random.randrange(_KEYS)
        if first <= key <= last:
            continue
        count += 1
        task: asyncio.Task[object] = asyncio.create_task(
            site.machines[1].send("GET", "/read/1", f"k{count:06x}", key=key)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)


def _reused_tokens(
    holds: Holds, earlier: str, later: str, since: float
) -> list[tuple[float, int, int, int]]:
    """
    Return the grants of a server with tokens that another one had.

    :param since: time before which grants don't count.
    :return: time after ``since``, first key, last key and token.
    """
    had = [hold for hold in holds.all if hold.server == earlier]
    return [
        (round(at - since, 3), first, last, fence)
        for at, server, first, last, fence in holds.accepted
        if server == later
        and at > since
        and any(
            hold.first <= last and first <= hold.last and fence <= hold.fence
            for hold in had
        )
    ]


async def case(record: Record, trouble: bool) -> int:
    """Run the case; return its exit code."""
    site = Site(
        record,
        ["dispatch", "dispatch", "records", "records", "records"],
        keyed_services=frozenset({"records"}),
    )
    victim = site.machines[2]
    earlier = victim.server
    earlier.listen_port = _SERVER_PORT
    proxy = DarkProxy(victim.host, APP_PORT, _SERVER_PORT)
    await proxy.start()
    try:
        await site.start(
            make_config(
                make_route("crew", "dispatch"),
                make_route("read", "records"),
                make_service("dispatch"),
                make_service("records", sharding=True),
            )
        )
        await _wait_until_held(site)
        held = site.holds.current(earlier.name)[0]
        traffic = asyncio.create_task(
            _send_traffic(site, held.first, held.last)
        )
        await asyncio.sleep(_CALM_S)
        back_at = time.monotonic()
        if trouble:
            await proxy.go_dark()
            await earlier.crash()
            record.write("dark", server=earlier.name)
            await asyncio.sleep(_DARK_S)
            later = victim.make_server("i-3b")
            later.listen_port = _SERVER_PORT
            later.first_beat_after_s = HEARTBEAT_S + _BEAT_LATE_S
            victim.server = later
            await later.start()
            proxy.come_back()
            back_at = time.monotonic()
            record.write("started", server=later.name)
        await asyncio.sleep(_AFTER_S)
        traffic.cancel()
        reused = _reused_tokens(
            site.holds, earlier.name, "i-3b", back_at + _THAW_SLACK_S
        )
        for after_s, first, last, fence in reused:
            record.write(
                "reused",
                after_s=after_s,
                server="i-3b",
                first=first,
                last=last,
                fence=fence,
            )
        record.write("judged", reused=len(reused))
        return BROKEN if reused else HELD
    finally:
        proxy.close()
        await site.stop()


if __name__ == "__main__":
    run_case(
        Path(__file__).parent,
        case,
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
