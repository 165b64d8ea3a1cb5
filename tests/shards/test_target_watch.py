"""Restarts of a target, seen by a connection that stays open."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockgap.shards import target_watch
from burdockgap.shards.target_watch import TargetWatch
from tests.forward.builders import GateHarness
from tests.http1.sockets import HOST
from tests.ports import free_port
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class WatchedTarget:
    """A target's listener, its announcements and a watch."""

    def __init__(self):
        self.state = GateHarness().state
        self.watch = TargetWatch(self.state)
        self.port = free_port()
        self.sequence = 0
        self.born = 1000
        self.accepted = 0
        self.idle_s = 60.0

    def announce(self):
        self.sequence += 1
        self.state.announced(
            make_info(
                address=(HOST, self.port),
                born=self.born,
                sequence=self.sequence,
            )
        )

    async def announce_regularly(self, count=2):
        """Announce the target as one that is running does."""
        for number in range(count):
            if number:
                await asyncio.sleep(0.5)
            self.announce()

    async def _hold(self, reader, writer):
        self.accepted += 1
        try:
            async with asyncio.timeout(self.idle_s):
                await reader.read()
        except TimeoutError:
            pass
        finally:
            writer.close()

    @asynccontextmanager
    async def open(self):
        """Run one process of the target."""
        connections = set()

        async def hold(reader, writer):
            connections.add(writer)
            await self._hold(reader, writer)
            connections.discard(writer)

        server = await asyncio.start_server(hold, HOST, self.port)
        try:
            yield
        finally:
            server.close()
            for writer in list(connections):
                writer.transport.abort()
            await asyncio.sleep(0.01)

    async def wait_connected(self):
        async with asyncio.timeout(2):
            while self.watch._conn is None or self.watch._conn.lost:
                await asyncio.sleep(0.01)


@pytest.fixture
async def target():
    target = WatchedTarget()
    task = asyncio.create_task(target.watch.run())
    yield target
    task.cancel()


async def test_announcement_while_connected_is_proof(target):
    target.announce()
    async with target.open():
        await target.wait_connected()
        assert not target.watch.is_proven()
        target.announce()
        assert target.watch.is_proven()


async def test_restart_under_the_same_id_needs_another_announcement(target):
    target.announce()
    async with target.open():
        await target.wait_connected()
        target.announce()
        assert target.watch.is_proven()
    assert not target.watch.is_proven()
    async with target.open():
        await target.wait_connected()
        assert not target.watch.is_proven()
        target.born += 1
        target.announce()
        assert target.watch.is_proven()


# OWNER, soak seed 1173: a late announcement of the earlier process was
# taken for one of the process that listens now.
async def test_late_announcements_of_the_earlier_process_are_no_proof(target):
    target.announce()
    async with target.open():
        await target.wait_connected()
        target.announce()
    async with target.open():
        await target.wait_connected()
        for _ in range(3):
            target.announce()
            assert not target.watch.is_proven()


# A target that closes idle connections early has not restarted.
async def test_regular_announcements_after_a_lost_connection_are_proof(target):
    target.idle_s = 0.6
    target.announce()
    async with target.open():
        await target.wait_connected()
        target.announce()
        await asyncio.sleep(0.8)
        await target.wait_connected()
        await target.announce_regularly()
        assert target.watch.is_proven()


async def test_connection_is_replaced_before_the_target_closes_it(
    target, monkeypatch
):
    monkeypatch.setattr(target_watch, "_REPLACE_AFTER_S", 0.2)
    target.watch._replace_after_s = 0.2
    target.idle_s = 0.5
    target.announce()
    async with target.open():
        await target.wait_connected()
        target.announce()
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert target.watch.is_proven()
        assert target.accepted >= 3


async def test_early_close_of_the_target_shortens_the_interval(target):
    target.idle_s = 0.6
    target.announce()
    async with target.open():
        await target.wait_connected()
        await asyncio.sleep(0.8)
        await target.wait_connected()
        await target.announce_regularly()
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert target.watch.is_proven()


async def test_target_at_another_address_is_not_proven(target):
    target.announce()
    async with target.open():
        await target.wait_connected()
        target.announce()
        target.port = free_port()
        target.announce()
        assert not target.watch.is_proven()


# A target that sent without being asked, without end, kept its daemon
# reading for as long as it wanted.
async def test_connection_with_unasked_bytes_is_closed(target):
    sent, closed = [], asyncio.Event()

    async def send_endlessly(_reader, writer):
        try:
            while len(sent) < 1000:
                writer.write(b"a" * 65_536)
                await writer.drain()
                sent.append(1)
        except OSError:
            closed.set()

    server = await asyncio.start_server(send_endlessly, HOST, target.port)
    target.announce()
    async with asyncio.timeout(2):
        await closed.wait()
    assert not target.watch.is_proven()
    server.close()
