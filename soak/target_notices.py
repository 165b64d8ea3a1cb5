"""Servers that name a limit or their stop in their responses only."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak.site import Site

_INTERVAL_S = (1.0, 3.0)
_LIMIT_PER_S = (1.0, 8.0)
_LIMIT_DURATION_S = (5.0, 9.0)
_LEAVING_DURATION_S = (3.0, 5.0)
_RESTART_DELAY_S = (0.1, 2.0)
_LIMIT_SHARE = 0.6


class TargetNotices:
    """
    Lets servers add notices to their responses for a time.

    :param site: the site under test.
    :param rng: chooses servers, notices and durations.
    :param log: called with a description when a notice begins.
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
        Begin notices until a time, then wait until all have ended.

        :param deadline: on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await asyncio.sleep(self._rng.uniform(*_INTERVAL_S))
            is_limit = self._rng.random() < _LIMIT_SHARE
            notice = self._name_limit() if is_limit else self._leave()
            self._tasks.add(loop.create_task(notice))
        await asyncio.gather(*self._tasks)

    async def _name_limit(self) -> None:
        machine = self._rng.choice(self._site.machines)
        limit_per_s = self._rng.uniform(*_LIMIT_PER_S)
        duration_s = self._rng.uniform(*_LIMIT_DURATION_S)
        if not machine.server.is_up or machine.server.limit is not None:
            return
        self._log(
            f"server names a limit of {limit_per_s:.1f} "
            f"for {duration_s:.2f} s {machine.name}"
        )
        machine.server.name_limit(limit_per_s)
        await asyncio.sleep(duration_s)
        machine.server.name_limit(None)

    async def _leave(self) -> None:
        machine = self._rng.choice(self._site.machines)
        duration_s = self._rng.uniform(*_LEAVING_DURATION_S)
        restart_delay_s = self._rng.uniform(*_RESTART_DELAY_S)
        server = machine.server
        if not server.is_up or server.draining or server.says_leaving:
            return
        self._log(f"server says that it leaves {machine.name}")
        incarnation = server.incarnation
        server.says_leaving = True
        await asyncio.sleep(duration_s)
        server.says_leaving = False
        if not server.is_up or server.incarnation != incarnation:
            return
        await server.stop()
        await asyncio.sleep(restart_delay_s)
        if not server.is_up:
            await server.start()
