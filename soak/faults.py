"""Faults from outside the processes, drawn at random."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from standins.relay.links import LOG

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Coroutine

    from soak.machine import Machine
    from soak.site import Site

    _Fault = Callable[[], Coroutine[None, None, None]]

_RESTART_S = (0.1, 2.0)
_LASTS_S = (0.3, 5.0)
_STORE_LASTS_S = (0.5, 8.0)
_PAUSE_S = (0.1, 1.8)
_GRACE_S = 6.0


class Faults:
    """
    Injects faults that come in series and overlap.

    :param site: the site.
    :param rng: draws kind, place and time.
    :param say: told each fault as it begins.
    """

    def __init__(
        self, site: Site, rng: random.Random, say: Callable[[str], None]
    ) -> None:
        self._site = site
        self._rng = rng
        self._say = say
        self._tasks: set[asyncio.Task[None]] = set()
        self._kinds: list[tuple[int, _Fault]] = [
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
        """Begin faults for some seconds, and let all of them end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        weights = [weight for weight, _ in self._kinds]
        while loop.time() < until:
            _, fault = self._rng.choices(self._kinds, weights)[0]
            task = loop.create_task(fault())
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(*_PAUSE_S))
        await asyncio.gather(*self._tasks)
        self._site.links.heal()

    def _machine(self) -> Machine:
        return self._rng.choice(self._site.machines)

    def _begin(self, what: str, *machines: Machine) -> None:
        names = " ".join(item.name for item in machines)
        self._say(f"{what} {names}".rstrip())

    @asynccontextmanager
    async def _lasting(
        self, what: str, *machines: Machine, lasts_s: float
    ) -> AsyncIterator[None]:
        self._begin(f"{what} for {lasts_s:.2f} s", *machines)
        for item in machines:
            item.fault_begins()
        try:
            yield
            await asyncio.sleep(lasts_s)
        finally:
            for item in machines:
                item.fault_ends()

    async def _kill(self) -> None:
        machine = self._machine()
        if machine.is_spared:
            return
        self._begin("kill", machine)
        await self._restart([machine])

    async def _kill_many(self) -> None:
        machines = [item for item in self._site.machines if not item.is_spared]
        self._begin("kill all", *machines)
        await self._restart(machines)

    async def _restart(self, machines: list[Machine]) -> None:
        pause_s = self._rng.uniform(*_RESTART_S)
        for item in machines:
            item.stopping = True
            item.process.kill()
            item.disturbed()
        await asyncio.sleep(pause_s)
        for item in machines:
            item.start()
            item.stopping = False

    async def _freeze(self) -> None:
        machine = self._machine()
        if machine.is_spared:
            return
        lasts_s = self._rng.uniform(*_LASTS_S)
        async with self._lasting("freeze", machine, lasts_s=lasts_s):
            machine.process.freeze()
        machine.process.thaw()

    async def _terminate(self) -> None:
        machine = self._machine()
        if machine.is_spared:
            return
        self._begin("terminate", machine)
        machine.stopping = True
        machine.process.signal(signal.SIGTERM)
        machine.disturbed()
        try:
            await machine.process.wait(_GRACE_S)
        except TimeoutError:
            machine.process.kill()
        machine.start()
        machine.stopping = False

    async def _cut_store(self) -> None:
        count = self._rng.choice((1, 1, 2, len(self._site.machines)))
        cut = self._rng.sample(self._site.machines, count)
        lasts_s = self._rng.uniform(*_STORE_LASTS_S)
        names = [item.name for item in cut]
        ways = self._rng.choice(
            (
                ((names, [LOG]),),
                (([LOG], names),),
                ((names, [LOG]), ([LOG], names)),
            )
        )
        async with self._lasting("cut from the store", *cut, lasts_s=lasts_s):
            for sources, targets in ways:
                self._site.links.cut(sources, targets)
        self._heal(ways)

    async def _cut_peers(self) -> None:
        machine = self._machine()
        lasts_s = self._rng.uniform(*_LASTS_S)
        names = [item.name for item in self._site.machines]
        ways = self._rng.choice(
            (
                (([machine.name], names),),
                ((names, [machine.name]),),
                (([machine.name], names), (names, [machine.name])),
            )
        )
        async with self._lasting("cut from peers", machine, lasts_s=lasts_s):
            for sources, targets in ways:
                self._site.links.cut(sources, targets)
        self._heal(ways)

    def _heal(self, ways: tuple[tuple[list[str], list[str]], ...]) -> None:
        for sources, targets in ways:
            for source in sources:
                for target in targets:
                    self._site.links.link(source, target).heal()

    async def _delay(self) -> None:
        machine = self._machine()
        lasts_s = self._rng.uniform(*_LASTS_S)
        delay_s = self._rng.uniform(0.02, 0.4)
        names = [item.name for item in self._site.machines]
        async with self._lasting(
            f"delay by {delay_s:.2f} s", machine, lasts_s=lasts_s
        ):
            self._site.links.delay([machine.name], names, delay_s)
        self._heal((([machine.name], names),))

    async def _store_down(self) -> None:
        await self._trouble_store("down")

    async def _store_loses_replies(self) -> None:
        await self._trouble_store("lose_replies")

    async def _trouble_store(self, what: str) -> None:
        lasts_s = self._rng.uniform(*_STORE_LASTS_S)
        self._begin(f"store {what} for {lasts_s:.2f} s")
        self._site.store_fault_begins()
        setattr(self._site.store, what, True)
        await asyncio.sleep(lasts_s)
        setattr(self._site.store, what, False)
        self._site.store_fault_ends()

    async def _server_dies(self) -> None:
        machine = self._machine()
        if not machine.server.up:
            return
        self._begin("server dies", machine)
        machine.disturbed()
        await machine.server.stop()
        await asyncio.sleep(self._rng.uniform(*_RESTART_S))
        if not machine.server.up:
            await machine.server.start()
        machine.disturbed()

    async def _server_drains(self) -> None:
        machine = self._machine()
        server = machine.server
        if not server.up or server.draining:
            return
        self._begin("server drains", machine)
        server.draining = True
        await asyncio.sleep(self._rng.uniform(3.0, 5.0))
        if server.up:
            await server.stop()
        server.draining = False
        await asyncio.sleep(self._rng.uniform(*_RESTART_S))
        if not server.up:
            await server.start()

    async def _configure(self) -> None:
        for _ in range(self._rng.choice((1, 1, 3))):
            self._begin(f"configuration {self._site.version + 1}")
            self._site.change_configuration()
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))

    async def _evacuate(self) -> None:
        data_centre = self._machine().data_centre
        if self._site.out:
            return
        self._begin(f"take out {data_centre}")
        self._site.take_out(data_centre)
        await asyncio.sleep(self._rng.uniform(2.0, 9.0))
        self._site.take_back(data_centre)

    async def _forget_history(self) -> None:
        self._begin("store forgets its history")
        for topic in list(self._site.store.topics):
            self._site.store.drop_history(topic)
