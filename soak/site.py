"""Machines, store and relay of one run."""

from __future__ import annotations

import asyncio
import math
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import anyio

from burdockgap.http1.server import Server, open_server
from soak.machine import STORE_PORT, Machine
from soak.promises import Promises
from standins.relay.links import Links
from standins.relay.relay import Relay
from standins.relay.route import Route
from standins.sidecar.documents import (
    make_config,
    make_limits,
    make_route,
    make_service,
)
from standins.sidecar.keyed_topics import KeyedTopics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

_PEER_PORT = 7620
_DATA_CENTRES = ("tanta", "mansoura", "zagazig")
_OPERATOR_TOPIC = "keyed.op"


class Site:
    """
    All that one run consists of.

    :param net: first two numbers of all addresses, such as ``127.20``.
    :param folder: where settings and outputs go.
    :param size: number of machines, a third of them with keys.
    """

    def __init__(self, *, net: str, folder: Path, size: int) -> None:
        self._loop = asyncio.get_running_loop()
        self.net = net
        self.promises = Promises()
        self.store = KeyedTopics()
        self.links = Links()
        self.version = 0
        self.changed_at = -math.inf
        self._store_faults = 0
        self._store_troubled_at = -math.inf
        self.out: dict[str, float] = {}
        self.machines = [
            Machine(
                f"m{index}",
                net=net,
                index=index + 1,
                service="records" if index % 2 else "dispatch",
                data_centre=_DATA_CENTRES[index % len(_DATA_CENTRES)],
                folder=folder,
                promises=self.promises,
                out_for_s=partial(
                    self._out_for_s, _DATA_CENTRES[index % len(_DATA_CENTRES)]
                ),
            )
            for index in range(size)
        ]

    def change_configuration(self) -> None:
        """Write the next version, which adds one route."""
        self.version += 1
        routes = [
            make_route(f"v{number}", "dispatch")
            for number in range(max(self.version - 5, 1), self.version + 1)
        ]
        self.store.put(
            _OPERATOR_TOPIC,
            "config",
            make_config(
                make_route("read", "records"),
                make_route("book", "dispatch", kind="unsafe"),
                *routes,
                make_service("records", sharding=True),
                make_service("dispatch"),
                make_limits(),
                version=f"{self.version:08x}",
            ),
        )
        self.changed_at = self._loop.time()

    def take_out(self, data_centre: str) -> None:
        """Ask for nothing more to be sent to a data centre."""
        self.store.put(_OPERATOR_TOPIC, f"evacuate/{data_centre}", b"{}")
        self.out[data_centre] = self._loop.time()

    def take_back(self, data_centre: str) -> None:
        """Use a data centre again."""
        self.out.pop(data_centre, None)
        self.store.put(_OPERATOR_TOPIC, f"evacuate/{data_centre}", b"")

    def store_fault_begins(self) -> None:
        """Count a fault of the store that lasts."""
        self._store_faults += 1

    def store_fault_ends(self) -> None:
        """Count the end of such a fault."""
        self._store_faults -= 1
        self._store_troubled_at = self._loop.time()

    def store_calm_s(self) -> float:
        """Return for how long nothing was done to the store."""
        if self._store_faults:
            return 0.0
        return self._loop.time() - self._store_troubled_at

    def relay(self) -> Relay:
        """Return the relay between daemons and to the store."""
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

    def _out_for_s(self, data_centre: str) -> float:
        began = self.out.get(data_centre)
        if began is None:
            return 0.0
        return min(self._loop.time() - began, self.store_calm_s())


@asynccontextmanager
async def open_site(
    *, net: str, folder: Path, size: int
) -> AsyncIterator[Site]:
    """Run a site until the context ends; its processes end with it."""
    site = Site(net=net, folder=folder, size=size)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(
            open_server(Server(site.store.answer), f"{net}.3.1", STORE_PORT)
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        await tasks.start(site.relay().run)
        site.change_configuration()
        for item in site.machines:
            stack.callback(_end, item)
            item.start()
            await item.server.start()
            stack.push_async_callback(item.server.stop)
            tasks.start_soon(item.server.announce)
        yield site


def _end(machine: Machine) -> None:
    """End the machine's process, which may be frozen."""
    if machine.process.is_frozen and machine.process.is_running:
        machine.process.thaw()
    machine.process.kill()
