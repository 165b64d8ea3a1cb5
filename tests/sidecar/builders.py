"""Builders of a site: a store and several daemons in one process."""

from __future__ import annotations

import asyncio
import os
from contextlib import AsyncExitStack, asynccontextmanager

from burdockgap.fleet.datagrams import open_datagrams
from burdockgap.forward.target_info import TargetInfo
from burdockgap.hop.listener import open_listener
from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.server import Server, open_server
from burdockgap.logs.line_writer import LineWriter
from burdockgap.platform.store_client import StoreClient
from burdockgap.resources.link_usage import LinkUsage
from burdockgap.sidecar.metrics import SidecarMetrics
from burdockgap.sidecar.node import Node
from burdockgap.sidecar.peer_call_handlers import PeerCallHandlers
from burdockgap.sidecar.sidecar_settings import SidecarSettings
from standins.sidecar.app_server import AppServer
from standins.sidecar.documents import make_site_config
from standins.sidecar.downlink import Downlink
from standins.sidecar.keyed_topics import KeyedTopics
from tests.ports import HOST, free_port

FAST_LINK_BYTES_PER_S = 125e6
BEHIND_LINK_HOST = "127.0.0.2"
"""Where a machine listens whose receiving link is slow."""


def make_info(**fields):
    """Return a heartbeat, with defaults for the missing fields."""
    defaults = {
        "target_id": "i-1",
        "born": 1000,
        "address": (HOST, 1),
        "service": "dispatch",
        "data_centre": "dc1",
        "slots": 4,
        "draining": False,
        "cold_s": 0.0,
        "sequence": 1,
    }
    return TargetInfo(**{**defaults, **fields})


class Machine:
    """
    One daemon and its server.

    :param link_bytes_per_s: rate of the receiving direction of its
        link, ``None`` for a fast one.
    """

    def __init__(self, site, index, service, link_bytes_per_s=None):
        self.link_bytes_per_s = link_bytes_per_s
        self.downlink = None
        self.site = site
        self.name = f"m{index}"
        self.service = service
        self.app = AppServer(f"i-{index}", keyed=service == "records")
        self.app_port = free_port()
        self.callers_port = free_port()
        self.peer_port = free_port()
        self.sequence = 0
        self.born = 1000 + index
        self.sends_heartbeats = True
        self.node = None
        self._stack = AsyncExitStack()
        self._app_stack = AsyncExitStack()
        self._app_server = None
        self._tasks = []

    async def start_app(self):
        self._app_server = Server(self.app.answer)
        await self._app_stack.enter_async_context(
            open_server(self._app_server, HOST, self.app_port)
        )

    def cut_app_connections(self):
        """Close the connections of the server, which goes on."""
        for conn in list(self._app_server.connections):
            conn.close()

    async def stop_app(self):
        await self._app_stack.aclose()

    async def _open_downlink(self):
        """Let peers and the store send over the slow link."""
        self.downlink = Downlink(self.link_bytes_per_s)
        address = (HOST, self.peer_port)
        target = (BEHIND_LINK_HOST, self.peer_port)
        store_port = free_port()
        for port in (
            self.downlink.open_port(address, target),
            self.downlink.open_datagram_port(address, target),
            self.downlink.open_port(
                (HOST, store_port), (HOST, self.site.store_port), replies=True
            ),
        ):
            await self._stack.enter_async_context(port)
        return store_port

    async def start(self):
        peer_host, store_port = HOST, self.site.store_port
        if self.link_bytes_per_s is not None:
            peer_host = BEHIND_LINK_HOST
            store_port = await self._open_downlink()
        cfg = SidecarSettings(
            name=self.name,
            data_centre="dc1",
            region="r1",
            service=self.service,
            ip=HOST,
            peer_host=peer_host,
            peer_port=self.peer_port,
            callers=(HOST, self.callers_port),
            readiness=(HOST, 0),
            control=(HOST, 0),
            store=(HOST, store_port),
            budget_ratio=0.2,
            budget_extra=60.0,
            budget_window_s=10.0,
            link_bytes_per_s=self.link_bytes_per_s or FAST_LINK_BYTES_PER_S,
            drain_s=2.0,
            grace_s=6.0,
            buffer_bytes=50_000_000,
        )
        metrics = SidecarMetrics()
        event_log = LineWriter(
            fd=self.site.log_fd, name=self.name, count=metrics.count
        )
        datagrams = await self._stack.enter_async_context(
            open_datagrams(peer_host, self.peer_port)
        )
        self.node = Node(
            cfg=cfg,
            store=StoreClient(cfg.store),
            link=LinkUsage(cfg.link_bytes_per_s, event_log.write),
            datagrams=datagrams,
            event_log=event_log,
            metrics=metrics,
        )
        peer_calls = PeerCallHandlers(self.node)
        await self._stack.enter_async_context(
            open_listener(
                peer_calls.handlers(),
                peer_host,
                self.peer_port,
                uplink=self.node.uplink,
                link_refusals=peer_calls.link_refusals(),
                downlink=self.node.downlink,
            )
        )
        self.node.caller_server = Server(
            self.node.answer_caller, may_overlap=self.node.may_overlap
        )
        await self._stack.enter_async_context(
            open_server(self.node.caller_server, *cfg.callers)
        )
        self._tasks = [
            asyncio.create_task(self.node.run()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def kill(self):
        """Stop the daemon without notice to others, as SIGKILL does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.node.peer_connections.close()
        self.node.reporter.cancel()
        if self.node.holder is not None:
            self.node.holder.cancel()
        await self._stack.aclose()

    async def _send_heartbeats(self):
        while True:
            if self.sends_heartbeats:
                self.send_heartbeat()
            await asyncio.sleep(0.2)

    def send_heartbeat(self, **fields):
        self.sequence += 1
        self.node.heartbeats.receive(
            make_info(
                target_id=self.app.target_id,
                born=self.born,
                address=(HOST, self.app_port),
                service=self.service,
                sequence=self.sequence,
                **fields,
            )
        )

    async def ask(self, path, *, key=None, method="GET", body=b"", **headers):
        """Send a caller's request and return the response."""
        self.site.last_request_id += 1
        pairs = [
            ("Host", "a.example"),
            ("Attempt-Id", f"r{self.site.last_request_id}"),
            ("Deadline-Milliseconds", "900"),
        ]
        if key is not None:
            pairs.append(("Shard-Key", str(key)))
        pairs += headers.items()
        pool = ClientPool(
            (HOST, self.callers_port), connect_timeout_s=1.0, idle_s=1.0
        )
        response = await pool.exchange(
            encode_request(method, path, pairs, body)
        )
        pool.close()
        return response


class Site:
    """A store and several machines."""

    def __init__(self, services, link_rates):
        self.store = KeyedTopics()
        self.store_port = free_port()
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        self.last_request_id = 0
        self.machines = [
            Machine(self, index, service, link_rates.get(index))
            for index, service in enumerate(services, start=1)
        ]

    def holders(self, key):
        """Return the machines whose server holds a key."""
        return [machine for machine in self.machines if machine.app.holds(key)]

    def held_tokens(self):
        """Return the token of each grant that has not expired."""
        now = asyncio.get_running_loop().time()
        return {
            (machine.name, token)
            for machine in self.machines
            for _, _, token, expires_at in machine.app.grants
            if expires_at > now
        }

    def accepted_tokens(self, since):
        """Return the token of each grant since a time of the loop."""
        return {
            (machine.name, token)
            for machine in self.machines
            for time, _, _, token in machine.app.accepted
            if time >= since
        }

    async def wait_until(self, condition, timeout_s=5.0):
        """Wait until a condition is true."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_until_ready(self):
        """Wait until all daemons are ready and hold all keys."""
        keyed = [
            machine
            for machine in self.machines
            if machine.service == "records"
        ]
        await self.wait_until(
            lambda: (
                all(machine.node.is_ready for machine in self.machines)
                and all(
                    len(machine.node.roster.servers(other.service)) > 0
                    for machine in self.machines
                    for other in self.machines
                )
                and (
                    not keyed
                    or sum(
                        machine.node.holder.held_key_count
                        for machine in keyed
                        if machine.node.holder
                    )
                    == 65536
                )
            )
        )


@asynccontextmanager
async def open_site(
    *services: str, link_rates: dict[int, float] | None = None
):
    """
    Start a site with one machine for each given service.

    :param link_rates: rates of the slow links by number of the machine,
        from 1 on, in bytes per second.
    """
    site = Site(services, link_rates or {})
    site.store.put("keyed.op", "config", make_site_config())
    async with open_server(Server(site.store.answer), HOST, site.store_port):
        for machine in site.machines:
            await machine.start_app()
            await machine.start()
        try:
            yield site
        finally:
            for machine in site.machines:
                await machine.kill()
                await machine.stop_app()
            os.close(site.log_fd)


async def restart(machines):
    """Kill all daemons of some machines and start them again."""
    for machine in machines:
        await machine.kill()
    await asyncio.sleep(0.1)
    for machine in machines:
        await machine.start()
