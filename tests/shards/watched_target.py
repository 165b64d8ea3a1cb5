"""A target whose processes come and go at one address."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.shards.grant_client import GrantClient
from tests.forward.builders import GateHarness
from tests.http1.sockets import HOST, read_head
from tests.ports import free_port
from tests.shards.holder_harness import make_shard
from tests.sidecar.builders import make_info

GRANTED = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class TargetProcess:
    """
    One process of a target, which answers grants.

    :ivar is_silent: whether it neither reads nor closes connections.
    :ivar idle_s: seconds after which it closes idle connections.
    :ivar fences: the fencing tokens of the grants that it got.
    :ivar accepted: number of connections.
    """

    def __init__(self):
        self.is_silent = False
        self.idle_s = 60.0
        self.fences = []
        self.accepted = 0
        self._writers = set()
        self._server = None

    async def listen(self, port):
        self._server = await asyncio.start_server(self._serve, HOST, port)

    def go_dark(self):
        """Leave open connections silent; the address becomes free."""
        self.is_silent = True
        self._server.close()

    def crash(self):
        """Reset all connections; the address becomes free."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.accepted += 1
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(self.idle_s):
                    head = await read_head(reader)
                while self.is_silent:
                    await asyncio.sleep(0.05)
                await self._answer(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, reader, writer):
        size = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        body = json.loads(await reader.readexactly(int(size)))
        self.fences.append(body["fence"])
        writer.write(GRANTED)


class WatchedTarget:
    """A target, its announcements and a client that grants it keys."""

    def __init__(self):
        self.state = GateHarness().state
        self.events = []
        self.client = GrantClient(
            state=self.state,
            protocol=PlatformTargetProtocol(),
            on_event=lambda event, fields: self.events.append((event, fields)),
        )
        self.port = free_port()
        self.sequence = 0
        self.born = 1000

    def announce(self):
        self.sequence += 1
        self.state.announced(
            make_info(
                address=(HOST, self.port),
                born=self.born,
                sequence=self.sequence,
            )
        )

    def make_shard(self, fence=3):
        return make_shard(born=self.born, fence=fence)

    def may_grant(self, fence=3):
        return self.client.may_grant(self.make_shard(fence))

    async def grant(self, fence=3):
        return await self.client.grant(self.make_shard(fence), 1.0, "")

    @asynccontextmanager
    async def open_process(self, *, idle_s=60.0):
        """Run one process of the target; it crashes at the end."""
        process = TargetProcess()
        process.idle_s = idle_s
        await process.listen(self.port)
        try:
            yield process
        finally:
            process.crash()
            await asyncio.sleep(0.01)

    async def wait_connected(self, count=2):
        async with asyncio.timeout(2):
            while len(self.client._links.usable()) < count:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def open_target():
    """Maintain the client's connections to a target."""
    target = WatchedTarget()
    task = asyncio.create_task(target.client.maintain_links())
    try:
        yield target
    finally:
        task.cancel()
