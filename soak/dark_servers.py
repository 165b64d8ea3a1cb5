"""Servers that fall silent and are replaced before they are heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak.site import Site

_INTERVAL_S = (2.0, 5.0)
_DARK_S = (0.3, 2.5)
_HEARTBEAT_AFTER_S = (0.0, 2.5)
_LATE_HEARTBEAT_SHARE = 0.5


class DarkServers:
    """
    Lets servers go dark and start anew at the same address.

    :param site: the site under test.
    :param rng: chooses servers, durations and late heartbeats.
    :param log: called with a description when a server goes dark.
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
        Begin faults until a time, then wait until all have ended.

        :param deadline: on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
            self._tasks.add(loop.create_task(self._go_dark()))
        await asyncio.gather(*self._tasks)
        for machine in self._site.machines:
            machine.server.close_silent_connections()

    async def _go_dark(self) -> None:
        machine = self._rng.choice(self._site.machines)
        dark_s = self._rng.uniform(*_DARK_S)
        heartbeat_after_s = self._rng.uniform(*_HEARTBEAT_AFTER_S)
        late_heartbeat = self._rng.random() < _LATE_HEARTBEAT_SHARE
        server = machine.server
        if not server.is_up or server.draining:
            return
        self._log(
            f"server dark for {dark_s:.2f} s, heard after "
            f"{heartbeat_after_s:.2f} s, late heartbeat {late_heartbeat} "
            f"{machine.name}"
        )
        machine.mark_disturbed()
        incarnation = server.incarnation
        server.go_dark()
        await asyncio.sleep(dark_s)
        if not server.is_up and server.incarnation == incarnation:
            await server.return_from_dark(
                heartbeat_after_s=heartbeat_after_s,
                late_heartbeat=late_heartbeat,
            )
        machine.mark_disturbed()
