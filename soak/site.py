"""The machines, the store and the relay of a soak run."""

from __future__ import annotations

import asyncio
import math
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from burdockgap.http1.server import Server, open_server
from soak.invariants import UNDISTURBED_S, InvariantChecker
from soak.machine import STORE_PORT, Machine
from soak.operators import Operators
from standins.relay.links import Links
from standins.relay.relay import Relay
from standins.relay.route import Route
from standins.sidecar.keyed_topics import KeyedTopics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_PEER_PORT = 7620
_DATA_CENTRES = ("tanta", "mansoura", "zagazig")
_MAX_MEMORY_KB = 150_000
"""Below the 200 MB of the users' smallest machines."""


class Site:
    """
    The machines, the store and the links of a soak run.

    :param net: first two octets of all addresses, such as ``127.20``.
    :param folder: where settings and outputs are written.
    :param size: number of machines; every second one owns keys.
    :ivar relay: the relay between the daemons and to the store.
    :ivar store_fault_ended_at: when the last store fault ended.
    """

    def __init__(self, *, net: str, folder: Path, size: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.net = net
        self.checker = InvariantChecker()
        self.store = KeyedTopics()
        self.operators = Operators(self.store)
        self.links = Links()
        self._store_faults: list[str] = []
        self.store_fault_ended_at = -math.inf
        self.machines = [
            Machine(
                f"m{index}",
                net=net,
                index=index + 1,
                service="records" if index % 2 else "dispatch",
                data_centre=_DATA_CENTRES[index % len(_DATA_CENTRES)],
                folder=folder,
                checker=self.checker,
                evacuated_for_s=partial(
                    self.evacuated_for_s,
                    _DATA_CENTRES[index % len(_DATA_CENTRES)],
                ),
            )
            for index in range(size)
        ]
        self.relay = self._make_relay()

    def check_memory(self) -> None:
        """Record the daemons whose peak memory exceeds the limit."""
        for machine in self.machines:
            if not machine.process.is_running:
                continue
            status = Path(f"/proc/{machine.process.pid}/status").read_text()
            peak_kb = int(status.partition("VmHWM:")[2].split()[0])
            if peak_kb > _MAX_MEMORY_KB:
                self.checker.record_memory(
                    machine.incarnation, peak_kb, self._loop.time()
                )

    def begin_store_fault(self, flag: str) -> None:
        """
        Start a store fault; it may overlap with others.

        :param flag: the attribute of the store that is set.
        """
        self._store_faults.append(flag)
        setattr(self.store, flag, True)

    def end_store_fault(self, flag: str) -> None:
        """End a store fault."""
        self._store_faults.remove(flag)
        setattr(self.store, flag, flag in self._store_faults)
        self.store_fault_ended_at = self._loop.time()

    def store_undisturbed_s(self) -> float:
        """Return the time since the last store fault, 0 during one."""
        if self._store_faults:
            return 0.0
        return self._loop.time() - self.store_fault_ended_at

    def evacuated_for_s(self, data_centre: str) -> float:
        """
        Return the time since the evacuation of a data centre began.

        It is 0 if there is none, and while the store's disruption
        excuses the daemons. Writing it again starts no new time.
        """
        began = self.operators.evacuated_at.get(data_centre)
        if began is None or self.store_undisturbed_s() < UNDISTURBED_S:
            return 0.0
        return self._loop.time() - began

    def _make_relay(self) -> Relay:
        return Relay(
            routes=[
                Route(
                    name=item.name,
                    real=item.real,
                    advertised=item.advertised,
                )
                for item in self.machines
            ],
            links=self.links,
            peer_port=_PEER_PORT,
            log_host=f"{self.net}.3.1",
            log_port=STORE_PORT,
            pids=lambda: {
                item.process.pid: item.name
                for item in self.machines
                if item.process.is_running
            },
        )


@asynccontextmanager
async def open_site(
    *, net: str, folder: Path, size: int
) -> AsyncIterator[Site]:
    """Run a site; leaving the context ends its processes."""
    site = Site(net=net, folder=folder, size=size)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            open_server(Server(site.store.answer), f"{net}.3.1", STORE_PORT)
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        await tasks.start(site.relay.run)
        site.operators.change_configuration()
        for item in site.machines:
            stack.callback(_kill_process, item)
            item.start()
            await item.server.start()
            stack.push_async_callback(item.server.stop)
            tasks.start_soon(item.server.send_heartbeats)
        yield site


def _kill_process(machine: Machine) -> None:
    """Kill the machine's process, also if it is frozen."""
    if machine.process.is_frozen and machine.process.is_running:
        machine.process.thaw()
    machine.process.kill()
