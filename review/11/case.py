"""Two servers hold the same keys after a late heartbeat."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from review.common3.site import (
    BROKEN,
    HELD,
    Machine,
    Site,
    UnableError,
    make_config,
    make_route,
    make_service,
    run_case,
)

if TYPE_CHECKING:
    from review.common3.app_server import AppServer
    from review.common3.record import Record
    from review.common3.web import Message

_KEYS = 65536
_MAX_BOTH_S = 0.5
"""OWNER: two servers hold the same keys for over half a second."""
_INTERVAL_S = 0.04
_SPREAD_EVERY = 8
"""Each eighth request is for any key, the others for the busy range."""
_WORK_S = 0.06
_TRAFFIC_S = 3.0
_WAITS_S = ((2.0, 1.3), (9.0, 1.2))
"""Longest waits for a moment, and the hold that is left then."""
_BEAT_AGE_S = 0.3
_AFTER_S = 4.0


async def _work(_req: Message) -> tuple[int, bytes]:
    await asyncio.sleep(_WORK_S)
    return 200, b"record"


async def _send_traffic(site: Site, first: int, last: int) -> None:
    """Send requests for keys, most of them for one range."""
    tasks: set[asyncio.Task[object]] = set()
    count = 0
    while True:
        await asyncio.sleep(_INTERVAL_S)
        count += 1
        key = random.randint(first, last)
        if count % _SPREAD_EVERY == 0:
            key = random.randrange(_KEYS)
        task: asyncio.Task[object] = asyncio.create_task(
            site.machines[1].send("GET", "/read/1", f"k{count:06x}", key=key)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)


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


async def _wait_for_a_renewal(site: Site, server: AppServer) -> None:
    """
    Wait for a moment after a renewal and a heartbeat of a server.

    The disruption may come at any moment; this one is chosen because
    the hold that is left then lasts longer than the daemon's start.
    """
    for wait_s, least_s in _WAITS_S:
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline:
            now = time.monotonic()
            holds = site.holds.current(server.name)
            left_s = min((hold.until - now for hold in holds), default=0.0)
            if left_s > least_s and now - server.beat_at < _BEAT_AGE_S:
                site.record.write("moment", hold_left_s=round(left_s, 3))
                return
            await asyncio.sleep(0.002)


async def _replace_server(victim: Machine) -> None:
    """Let the server that is cut off crash and start again."""
    await asyncio.sleep(0.9)
    earlier = victim.server
    await earlier.crash()
    victim.site.record.write(
        "crashed", server=earlier.name, held_up=len(earlier.held_up)
    )
    await asyncio.sleep(0.4)
    victim.server = victim.make_server("i-3b")
    victim.server.run = _work
    await victim.server.start()
    victim.site.record.write("server-started", server=victim.server.name)


async def _restart_daemon(
    victim: Machine, earlier: AppServer, late_beat: bytes
) -> None:
    """Kill a daemon, start it again, and deliver the late heartbeat."""
    record = victim.site.record
    victim.kill()
    victim.start()
    deadline = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        status = await earlier.deliver(late_beat)
        if status is not None:
            record.write("late-beat", server=earlier.name, status=status)
            return
        await asyncio.sleep(0.01)
    raise UnableError("the daemon took no heartbeat")


async def case(record: Record, trouble: bool) -> int:
    """Run the case; return its exit code."""
    site = Site(
        record,
        ["dispatch", "dispatch", "records", "records", "records"],
        keyed_services=frozenset({"records"}),
    )
    victim = site.machines[2]
    earlier = victim.server
    earlier.is_cut = True
    for machine in site.machines[2:]:
        machine.server.run = _work
    try:
        # The first server is cut off from its daemon and crashes behind
        # the cut; the next one registers at the same address.
        replacement = asyncio.create_task(_replace_server(victim))
        await site.start(
            make_config(
                make_route("crew", "dispatch"),
                make_route("read", "records"),
                make_service("dispatch"),
                make_service("records", sharding=True),
            )
        )
        await replacement
        await _wait_until_held(site)
        later = victim.server
        busy = site.holds.current(later.name)[0]
        traffic = asyncio.create_task(
            _send_traffic(site, busy.first, busy.last)
        )
        await asyncio.sleep(_TRAFFIC_S)
        await _wait_for_a_renewal(site, later)
        if trouble:
            await _restart_daemon(victim, earlier, earlier.held_up[-1])
        await asyncio.sleep(_AFTER_S)
        traffic.cancel()
        worst = site.holds.longest_overlap()
        if worst is None:
            record.write("judged", overlap_s=0)
            return HELD
        both_s, one, other = worst
        record.write(
            "judged",
            overlap_s=round(both_s, 3),
            first=max(one.first, other.first),
            last=min(one.last, other.last),
            holders=f"{one.server}(fence {one.fence}) and "
            f"{other.server}(fence {other.fence})",
        )
        return BROKEN if both_s > _MAX_BOTH_S else HELD
    finally:
        await site.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
