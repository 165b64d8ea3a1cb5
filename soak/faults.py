"""Random fault injection from outside the daemon processes."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from soak.dark_servers import DarkServers
from soak.departures import Departures
from soak.restored_store import RestoredStore
from soak.target_notices import TargetNotices
from standins.relay.links import LOG

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Coroutine

    from soak.machine import Machine
    from soak.site import Site

    _Fault = Callable[[], Coroutine[None, None, None]]

_RESTART_DELAY_S = (0.1, 2.0)
_FAULT_DURATION_S = (0.3, 5.0)
_STORE_FAULT_DURATION_S = (0.5, 8.0)
_FAULT_INTERVAL_S = (0.1, 1.8)
_ENDLESS_INTERVAL_S = (2.0, 5.0)
_ENDLESS_DURATION_S = (0.3, 2.0)
_STOP_TIMEOUT_S = 6.0


class Faults:
    """
    Injects random faults, which may overlap.

    :param site: the site under test.
    :param rng: chooses the kind, target and duration of each fault.
    :param target_rng: the same for targets that send without end; it is
        separate, so that the other faults of a seed stay the same.
    :param store_rng: the same for a store that returns from copies.
    :param notice_rng: the same for servers that name a limit or their
        stop in their responses.
    :param departure_rng: the same for servers that deregister.
    :param dark_rng: the same for servers that go dark.
    :param log: called with a description when a fault begins.
    """

    def __init__(
        self,
        site: Site,
        rng: random.Random,
        *,
        target_rng: random.Random,
        store_rng: random.Random,
        notice_rng: random.Random,
        departure_rng: random.Random,
        dark_rng: random.Random,
        log: Callable[[str], None],
    ) -> None:
        self._site = site
        self._rng = rng
        self._target_rng = target_rng
        self._restored_store = RestoredStore(site, store_rng, log)
        self._target_notices = TargetNotices(site, notice_rng, log)
        self._departures = Departures(site, departure_rng, log)
        self._dark_servers = DarkServers(site, dark_rng, log)
        self._evacuates = False
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self._weighted_faults: list[tuple[int, _Fault]] = [
            (4, self._kill),
            (4, self._freeze),
            (3, self._terminate),
            (3, self._cut_store),
            (3, self._cut_peers),
            (2, self._delay),
            (2, self._store_down),
            (2, self._store_loses_replies),
            (3, self._server_dies),
            (2, self._server_drains),
            (3, self._configure),
            (1, self._evacuate),
            (1, self._forget_history),
            (1, self._kill_many),
        ]

    async def run(self, seconds: float) -> None:
        """
        Start faults for a time, then wait until all have ended.

        :param seconds: for how long new faults are started.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        weights = [weight for weight, _ in self._weighted_faults]
        endless = loop.create_task(self._send_endlessly(deadline))
        restores = loop.create_task(self._restored_store.run(deadline))
        notices = loop.create_task(self._target_notices.run(deadline))
        departures = loop.create_task(self._departures.run(deadline))
        dark = loop.create_task(self._dark_servers.run(deadline))
        self._tasks |= {endless, restores, notices, departures, dark}
        while loop.time() < deadline:
            _, fault = self._rng.choices(self._weighted_faults, weights)[0]
            task = loop.create_task(fault())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*_FAULT_INTERVAL_S))
        await asyncio.gather(*self._tasks)
        self._site.links.heal()

    def _draw_machine(self) -> Machine:
        return self._rng.choice(self._site.machines)

    def _log_fault(self, description: str, *machines: Machine) -> None:
        names = " ".join(item.name for item in machines)
        self._log(f"{description} {names}".rstrip())

    @asynccontextmanager
    async def _lasting_fault(
        self, description: str, *machines: Machine, duration_s: float
    ) -> AsyncIterator[None]:
        self._log_fault(f"{description} for {duration_s:.2f} s", *machines)
        for item in machines:
            item.begin_fault()
        try:
            yield
            await asyncio.sleep(duration_s)
        finally:
            for item in machines:
                item.end_fault()

    async def _kill(self) -> None:
        machine = self._draw_machine()
        if machine.is_faulty:
            return
        self._log_fault("kill", machine)
        await self._restart([machine])

    async def _kill_many(self) -> None:
        machines = [item for item in self._site.machines if not item.is_faulty]
        self._log_fault("kill all", *machines)
        await self._restart(machines)

    async def _restart(self, machines: list[Machine]) -> None:
        delay_s = self._rng.uniform(*_RESTART_DELAY_S)
        for item in machines:
            item.stopping = True
            item.process.kill()
            item.mark_disturbed()
        await asyncio.sleep(delay_s)
        for item in machines:
            item.start()
            item.stopping = False

    async def _freeze(self) -> None:
        machine = self._draw_machine()
        if machine.is_faulty:
            return
        duration_s = self._rng.uniform(*_FAULT_DURATION_S)
        async with self._lasting_fault(
            "freeze", machine, duration_s=duration_s
        ):
            machine.process.freeze()
        machine.process.thaw()

    async def _terminate(self) -> None:
        machine = self._draw_machine()
        if machine.is_faulty:
            return
        self._log_fault("terminate", machine)
        machine.stopping = True
        machine.process.signal(signal.SIGTERM)
        machine.mark_disturbed()
        try:
            await machine.process.wait(_STOP_TIMEOUT_S)
        except TimeoutError:
            machine.process.kill()
        machine.start()
        machine.stopping = False

    async def _cut_store(self) -> None:
        count = self._rng.choice((1, 1, 2, len(self._site.machines)))
        cut = self._rng.sample(self._site.machines, count)
        duration_s = self._rng.uniform(*_STORE_FAULT_DURATION_S)
        names = [item.name for item in cut]
        directions = self._rng.choice(
            (
                ((names, [LOG]),),
                (([LOG], names),),
                ((names, [LOG]), ([LOG], names)),
            )
        )
        async with self._lasting_fault(
            "cut from the store", *cut, duration_s=duration_s
        ):
            for sources, targets in directions:
                self._site.links.cut(sources, targets)
        self._heal(directions)

    async def _cut_peers(self) -> None:
        machine = self._draw_machine()
        duration_s = self._rng.uniform(*_FAULT_DURATION_S)
        names = [item.name for item in self._site.machines]
        directions = self._rng.choice(
            (
                (([machine.name], names),),
                ((names, [machine.name]),),
                (([machine.name], names), (names, [machine.name])),
            )
        )
        async with self._lasting_fault(
            "cut from peers", machine, duration_s=duration_s
        ):
            for sources, targets in directions:
                self._site.links.cut(sources, targets)
        self._heal(directions)

    def _heal(
        self, directions: tuple[tuple[list[str], list[str]], ...]
    ) -> None:
        for sources, targets in directions:
            for source in sources:
                for target in targets:
                    self._site.links.link(source, target).heal()

    async def _delay(self) -> None:
        machine = self._draw_machine()
        duration_s = self._rng.uniform(*_FAULT_DURATION_S)
        delay_s = self._rng.uniform(0.02, 0.4)
        names = [item.name for item in self._site.machines]
        async with self._lasting_fault(
            f"delay by {delay_s:.2f} s", machine, duration_s=duration_s
        ):
            self._site.links.delay([machine.name], names, delay_s)
        self._heal((([machine.name], names),))

    async def _store_down(self) -> None:
        await self._disrupt_store("down")

    async def _store_loses_replies(self) -> None:
        await self._disrupt_store("lose_replies")

    async def _disrupt_store(self, flag: str) -> None:
        duration_s = self._rng.uniform(*_STORE_FAULT_DURATION_S)
        self._log_fault(f"store {flag} for {duration_s:.2f} s")
        self._site.begin_store_fault(flag)
        await asyncio.sleep(duration_s)
        self._site.end_store_fault(flag)

    async def _server_dies(self) -> None:
        machine = self._draw_machine()
        if not machine.server.is_up:
            return
        self._log_fault("server dies", machine)
        machine.mark_disturbed()
        await machine.server.stop()
        await asyncio.sleep(self._rng.uniform(*_RESTART_DELAY_S))
        if not machine.server.is_up:
            await machine.server.start()
        machine.mark_disturbed()

    async def _send_endlessly(self, deadline: float) -> None:
        rng = self._target_rng
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(rng.uniform(*_ENDLESS_INTERVAL_S))
            machine = rng.choice(self._site.machines)
            duration_s = rng.uniform(*_ENDLESS_DURATION_S)
            if not machine.server.is_up:
                continue
            async with self._lasting_fault(
                "endless answers", machine, duration_s=0.0
            ):
                await machine.server.send_endlessly(rng, duration_s)

    async def _server_drains(self) -> None:
        machine = self._draw_machine()
        server = machine.server
        if not server.is_up or server.draining:
            return
        self._log_fault("server drains", machine)
        server.draining = True
        await asyncio.sleep(self._rng.uniform(3.0, 5.0))
        if server.is_up:
            await server.stop()
        server.draining = False
        await asyncio.sleep(self._rng.uniform(*_RESTART_DELAY_S))
        if not server.is_up:
            await server.start()

    async def _configure(self) -> None:
        for _ in range(self._rng.choice((1, 1, 3))):
            self._log_fault(
                f"configuration {self._site.operators.version + 1}"
            )
            self._site.operators.change_configuration()
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))

    async def _evacuate(self) -> None:
        data_centre = self._draw_machine().data_centre
        if self._evacuates:
            return
        self._evacuates = True
        self._log_fault(f"take out {data_centre}")
        self._site.operators.begin_evacuation(data_centre)
        await asyncio.sleep(self._rng.uniform(2.0, 9.0))
        self._site.operators.end_evacuation(data_centre)
        self._evacuates = False

    async def _forget_history(self) -> None:
        self._log_fault("store forgets its history")
        for topic in list(self._site.store.topics):
            self._site.store.drop_history(topic)
