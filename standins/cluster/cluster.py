"""A site: a log, daemons and targets."""

from __future__ import annotations

import random
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from standins.cluster.process import Process
from standins.cluster.server import PEER_PORT, TOKEN, Server
from standins.relay import Relay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from standins.cluster.launch import Launch
    from standins.cluster.server_plan import ServerPlan
    from standins.relay import Links

_START_TIMEOUT_S = 40.0
_POLL_S = 0.1
_FIRST_HOST = 10
_FIRST_RELAY_HOST = 130
_LOG_HOST = 1
_LOG_PORT = 5050


class Cluster:
    """
    The processes of a site; each server has its own loopback IP.

    :param folder: directory for settings files and process output.
    :param plans: the servers.
    :param extra: additional settings of every daemon, as TOML text.
    :param relayed: whether daemons reach each other and the log through
        a relay, see :meth:`relay`.
    :param program: how to launch the daemons, ``None`` for the
        project's tree.
    :ivar log: the process of the stand-in log.
    :ivar log_url: base URL of the log, not through the relay.
    :ivar servers: the servers by name.
    """

    __slots__ = (
        "_extra_settings",
        "_prefix",
        "_relayed",
        "_program",
        "folder",
        "log",
        "log_url",
        "servers",
    )

    def __init__(
        self,
        *,
        folder: Path,
        plans: Sequence[ServerPlan],
        extra: str = "",
        relayed: bool = False,
        program: Launch | None = None,
    ) -> None:
        self._program = program
        rng = random.SystemRandom()
        self._prefix = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        self._extra_settings = extra
        self._relayed = relayed
        self.folder = folder
        host = f"{self._prefix}.{_LOG_HOST}"
        self.log_url = f"http://{host}:{_LOG_PORT}"
        args = ["--host", host, "--port", str(_LOG_PORT)]
        self.log = Process(
            "log", ["-m", "standins.platform_log", *args], folder
        )
        self.servers: dict[str, Server] = {}
        for plan in plans:
            self.add(plan)

    def add(self, plan: ServerPlan) -> Server:
        """Add a server without starting it."""
        number = len(self.servers)
        relay = f"{self._prefix}.{_FIRST_RELAY_HOST + number}"
        server = Server(
            plan=plan,
            address=f"{self._prefix}.{_FIRST_HOST + number}",
            log_url=f"http://{relay}:{_LOG_PORT}"
            if self._relayed
            else self.log_url,
            folder=self.folder,
            extra=self._extra_settings,
            relay=relay if self._relayed else "",
            program=self._program,
        )
        self.servers[plan.name] = server
        return server

    def relay(self, links: Links) -> Relay:
        """Return a relay for a site created with ``relayed``."""
        return Relay(
            routes=[server.route() for server in self.servers.values()],
            links=links,
            peer_port=PEER_PORT,
            log_host=f"{self._prefix}.{_LOG_HOST}",
            log_port=_LOG_PORT,
            pids=self._daemon_pids,
        )

    def _daemon_pids(self) -> dict[int, str]:
        return {
            server.daemon.pid: name
            for name, server in self.servers.items()
            if server.daemon.is_running
        }

    def processes(self) -> list[Process]:
        """Return all processes, the log first."""
        found = [self.log]
        for server in self.servers.values():
            found += [server.daemon, server.target]
        return found

    async def start(self) -> None:
        """Start all processes and wait until every daemon is ready."""
        self.log.start()
        await self.log.port()
        for server in self.servers.values():
            server.start()
        await self.wait_admitted(list(self.servers.values()))

    async def wait_admitted(self, servers: Sequence[Server]) -> None:
        """
        Wait until the daemons are ready, which requires a session.

        :raises TimeoutError: if one of them is not ready in time.
        :raises RuntimeError: if a daemon or its target has exited.
        """
        async with self.operator() as client:
            with anyio.fail_after(_START_TIMEOUT_S):
                for server in servers:
                    while not await _is_ready(client, server):
                        await anyio.sleep(_POLL_S)

    @asynccontextmanager
    async def operator(self) -> AsyncIterator[httpx.AsyncClient]:
        """Open an HTTP client that sends the operators' token."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with httpx.AsyncClient(headers=headers, timeout=5.0) as client:
            yield client

    async def status(self, server: Server) -> dict[str, Any]:
        """Return a daemon's status."""
        async with self.operator() as client:
            reply = await client.get(f"{server.admin_url}/v1/status")
            reply.raise_for_status()
            status: dict[str, Any] = reply.json()
            return status

    async def publish(self, document: str) -> None:
        """Publish a configuration over the current version."""
        server = next(iter(self.servers.values()))
        async with self.operator() as client:
            reply = await client.post(
                f"{server.admin_url}/v1/config",
                json={"document": document, "author": "cluster"},
                timeout=10.0,
            )
            reply.raise_for_status()

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes():
            process.kill()


async def _is_ready(client: httpx.AsyncClient, server: Server) -> bool:
    if not server.daemon.is_running:
        raise RuntimeError(f"{server.name} ended:\n{server.daemon.tail()}")
    if server.target.exit_code is not None:
        raise RuntimeError(
            f"the target of {server.name} ended:\n{server.target.tail()}"
        )
    try:
        reply = await client.get(f"{server.admin_url}/readyz")
    except httpx.TransportError:
        return False
    return reply.is_success


@asynccontextmanager
async def open_cluster(
    plans: Sequence[ServerPlan],
    *,
    extra: str = "",
    relayed: bool = False,
    program: Launch | None = None,
) -> AsyncIterator[Cluster]:
    """
    Create a site without starting it; kill it after the block.

    The arguments are those of :class:`Cluster`, whose folder is a
    temporary directory.
    """
    with tempfile.TemporaryDirectory(prefix="burdockgap-") as folder:
        cluster = Cluster(
            folder=Path(folder),
            plans=plans,
            extra=extra,
            relayed=relayed,
            program=program,
        )
        try:
            yield cluster
        finally:
            cluster.stop()
