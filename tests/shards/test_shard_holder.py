"""Grants, renewals and releases at a target."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from burdockgap.clock import BootClock
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.platform.target_protocol import PlatformTarget
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.lease import CLOCK_RATE, Lease
from burdockgap.shards.shard import KEY_COUNT, Shard
from burdockgap.shards.shard_holder import ShardHolder
from burdockgap.verdict import Reason, Refusal
from tests.forward.builders import GateWorld
from tests.http1.sockets import HOST
from tests.shards.builders import SERVICE
from tests.sidecar.builders import free_port, make_info

pytestmark = pytest.mark.anyio

LEASE_S = 0.6


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World:
    """A holder whose target answers as a test says."""

    def __init__(self, port):
        self.grants, self.releases = [], []
        self.answers_grants = True
        self.clock = BootClock()
        self.lease = Lease(self.clock)
        gate = GateWorld()
        self.state = gate.state
        self.state.announced(make_info(address=(HOST, port), born=7))
        self.handover = "h-1"
        self.holder = ShardHolder(
            service=SERVICE,
            name="a",
            clock=self.clock,
            lease=self.lease,
            state=self.state,
            protocol=PlatformTarget(),
            release=self._release,
            on_event=lambda _event, _fields: None,
        )
        # Grants of an earlier process have run out.
        self.holder._started_at -= 60

    async def answer(self, req):
        body = json.loads(req.body)
        if req.path == "/api/release":
            self.releases.append((body["from"], body["to"], body["fence"]))
            return Response(200, [("Handover", "h-9")])
        self.grants.append((body["from"], body["to"], body["fence"]))
        if not self.answers_grants:
            await asyncio.sleep(60)
        self.last_handover = body.get("handover")
        return Response(200)

    async def _release(self, _name, _shard, _fence):
        return self.handover

    def own(self, *shards: Shard):
        self.holder.adopt(ControlState(shards={SERVICE: list(shards)}))

    def extend(self, seconds=LEASE_S):
        self.lease.extend(self.clock.now(), seconds)

    def reason(self, key):
        try:
            self.holder.check(key)
        except Refusal as exc:
            return exc.reason
        return None

    async def until(self, condition):
        async with asyncio.timeout(3):
            while not condition():
                await asyncio.sleep(0.01)


@asynccontextmanager
async def open_world():
    port = free_port()
    world = World(port)
    async with open_server(Server(world.answer), HOST, port):
        task = asyncio.create_task(world.holder.run())
        try:
            yield world
        finally:
            task.cancel()
            world.holder.cancel()


def make_shard(first=0, last=KEY_COUNT - 1, **fields):
    defaults = {"owner": "a", "born": 7, "fence": 3}
    return Shard(first, last, **{**defaults, **fields})


async def test_owned_range_is_granted_and_renewed():
    async with open_world() as world:
        world.own(make_shard())
        assert world.reason(5) is Reason.ACTIVATING
        world.extend(1.5)
        await world.until(lambda: world.reason(5) is None)
        world.extend(3.0)
        await world.until(lambda: len(world.grants) > 1)
        assert set(world.grants) == {(0, KEY_COUNT - 1, 3)}


async def test_lease_that_ends_ends_service():
    async with open_world() as world:
        world.own(make_shard())
        world.extend()
        await world.until(lambda: world.reason(5) is None)
        await asyncio.sleep(LEASE_S)
        assert world.reason(5) is Reason.NO_LEASE


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"owner": "b"}, id="other-owner"),
        pytest.param({"born": 6}, id="earlier-life"),
    ],
)
async def test_range_of_another_is_not_granted(fields):
    async with open_world() as world:
        world.own(make_shard(**fields))
        world.extend()
        await asyncio.sleep(0.2)
        assert world.reason(5) is Reason.NOT_OWNER
        assert not world.grants


async def test_earlier_holder_is_asked_first():
    async with open_world() as world:
        world.handover = None
        world.own(make_shard(previous=(("b", 2),)))
        world.extend(3.0)
        await asyncio.sleep(0.3)
        assert not world.grants
        assert world.holder.pending == [[0, KEY_COUNT - 1, 3]]
        world.handover = "h-1"
        await world.until(lambda: world.reason(5) is None)
        assert world.last_handover == "h-1"


async def test_split_range_is_served_on():
    async with open_world() as world:
        world.own(make_shard())
        world.extend(1.5)
        await world.until(lambda: world.reason(5) is None)
        world.own(make_shard(0, 99), make_shard(100, owner="b", fence=4))
        assert world.reason(5) is None
        assert world.reason(100) is Reason.NOT_OWNER


async def test_joined_ranges_are_served_on():
    async with open_world() as world:
        world.own(make_shard(0, 99), make_shard(100, fence=4))
        world.extend(1.5)
        await world.until(lambda: world.reason(5) is None)
        await world.until(lambda: world.reason(500) is None)
        world.own(make_shard(fence=4))
        assert world.reason(5) is None
        assert world.reason(500) is None


async def test_released_range_is_neither_served_nor_renewed():
    async with open_world() as world:
        world.own(make_shard())
        world.extend(3.0)
        await world.until(lambda: world.reason(5) is None)
        assert await world.holder.release_range(0, 99, 3) == "h-9"
        assert world.reason(5) is Reason.NOT_OWNER
        granted = len(world.grants)
        await asyncio.sleep(0.5)
        assert len(world.grants) == granted
        assert world.releases == [(0, 99, 3)]


async def test_release_waits_for_a_grant_that_brought_no_answer():
    async with open_world() as world:
        world.answers_grants = False
        world.own(make_shard())
        world.extend()
        await world.until(lambda: world.grants)
        sent_at = world.clock.now()
        world.own(make_shard(owner="b", fence=4))
        await world.holder.release_range(0, KEY_COUNT - 1, 3)
        held_s = world.clock.now() - sent_at
        assert held_s >= (LEASE_S - 0.1) / CLOCK_RATE


async def test_release_of_an_ended_target_waits_for_nothing():
    async with open_world() as world:
        world.own(make_shard())
        world.extend(3.0)
        await world.until(lambda: world.reason(5) is None)
        world.state.refused_connection(7)
        async with asyncio.timeout(0.1):
            assert await world.holder.release_range(0, 99, 3) == ""


async def test_grant_after_a_closed_connection_awaits_an_announcement():
    """The server may have started anew under the same address."""
    port = free_port()
    world = World(port)
    task = asyncio.create_task(world.holder.run())
    async with open_server(Server(world.answer), HOST, port):
        world.extend()
        world.own(make_shard())
        await world.until(lambda: world.grants)
    world.grants.clear()
    async with open_server(Server(world.answer), HOST, port):
        for _ in range(5):
            world.extend()
            await asyncio.sleep(0.1)
        assert world.grants == []
        info = make_info(address=(HOST, port), born=7, sequence=50)
        world.state.announced(info)
        world.extend()
        await world.until(lambda: world.grants)
    task.cancel()
    world.holder.cancel()


async def test_first_grant_awaits_a_recent_announcement():
    """The server may have started anew since the last one."""
    async with open_world() as world:
        world.state._heard_at -= 2.0
        world.own(make_shard())
        for _ in range(4):
            world.extend()
            await asyncio.sleep(0.1)
        assert world.grants == []
        port = world.state.info.address[1]
        info = make_info(address=(HOST, port), born=7, sequence=50)
        world.state.announced(info)
        world.extend()
        await world.until(lambda: world.grants)
