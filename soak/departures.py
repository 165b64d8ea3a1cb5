"""Servers that deregister, and one of whose heartbeats arrives late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak.machine import Machine
    from soak.site import Site

_INTERVAL_S = (2.0, 5.0)
_LATE_S = (0.5, 3.0)
_STAY_S = (2.5, 4.0)
_RESTART_DELAY_S = (0.1, 1.0)
_KILL_BEFORE_SHARE = 0.4
_KILL_ALL_AFTER_SHARE = 0.4


class Departures:
    """
    Lets servers deregister, beside kills of the daemons that know it.

    :param site: the site under test.
    :param rng: chooses servers, kills and durations.
    :param log: called with a description when a server deregisters.
    """

    def __init__(
        self, site: Site, rng: random.Random, log: Callable[[str], None]
    ) -> None:
        self._site = site
        self._rng = rng
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, deadline: float) -> None:
        """
        Let servers deregister until a time, then wait for their ends.

        :param deadline: on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
            self._tasks.add(loop.create_task(self._leave()))
        await asyncio.gather(*self._tasks)

    async def _leave(self) -> None:
        machine = self._rng.choice(self._site.machines)
        kills_before = self._rng.random() < _KILL_BEFORE_SHARE
        kills_all_after = self._rng.random() < _KILL_ALL_AFTER_SHARE
        late_s = self._rng.uniform(*_LATE_S)
        stay_s = self._rng.uniform(*_STAY_S)
        delay_s = self._rng.uniform(*_RESTART_DELAY_S)
        server = machine.server
        if (
            not server.is_up
            or server.draining
            or server.deregisters
            or server.says_leaving
            or machine.is_faulty
        ):
            return
        self._log(
            f"server deregisters, daemon killed before: {kills_before}, "
            f"all killed after: {kills_all_after} {machine.name}"
        )
        incarnation = server.incarnation
        server.deregisters = True
        if kills_before:
            await self._restart([machine], delay_s)
        if server.incarnation != incarnation:
            return
        await server.deregister()
        if kills_all_after:
            alive = [one for one in self._site.machines if not one.is_faulty]
            await self._restart(alive, delay_s)
        await asyncio.sleep(late_s)
        if server.incarnation == incarnation and server.is_up:
            await server.send_late_heartbeat()
            await asyncio.sleep(stay_s)
        if server.incarnation != incarnation or not server.is_up:
            return
        await server.stop()
        await asyncio.sleep(delay_s)
        if not server.is_up:
            await server.start()

    async def _restart(self, machines: list[Machine], delay_s: float) -> None:
        for machine in machines:
            machine.stopping = True
            machine.process.kill()
            machine.mark_disturbed()
        await asyncio.sleep(delay_s)
        for machine in machines:
            machine.start()
            machine.stopping = False
