"""A holder of key ranges with a target that the test controls."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

from burdockgap.clock import BootClock
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.lease import Lease
from burdockgap.shards.shard import KEY_COUNT, Shard
from burdockgap.shards.shard_holder import ShardHolder
from burdockgap.verdict import Refusal
from tests.forward.builders import GateHarness
from tests.http1.sockets import HOST
from tests.ports import free_port
from tests.shards.builders import SERVICE
from tests.sidecar.builders import make_info

LEASE_S = 0.6


class HolderHarness:
    """A holder with a target whose answers the test controls."""

    def __init__(self, port):
        self.grants, self.releases = [], []
        self.answers_grants = True
        self.clock = BootClock()
        self.lease = Lease(self.clock)
        gate = GateHarness()
        self.state = gate.state
        self.port, self.sequence = port, 0
        self.announce()
        self.handover = "h-1"
        self.holder = ShardHolder(
            service=SERVICE,
            name="a",
            clock=self.clock,
            lease=self.lease,
            state=self.state,
            protocol=PlatformTargetProtocol(),
            release=self._release,
            on_event=lambda _event, _fields: None,
        )
        # Grants of an earlier daemon process have expired.
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

    def make_info(self, born=7):
        self.sequence += 1
        return make_info(
            address=(HOST, self.port), born=born, sequence=self.sequence
        )

    def announce(self):
        self.state.announced(self.make_info())

    async def _release(self, _name, _shard, _fence):
        return self.handover

    def assign(self, *shards: Shard):
        self.holder.adopt(ControlState(shards={SERVICE: list(shards)}))

    def extend(self, seconds=LEASE_S):
        self.lease.extend(self.clock.now(), seconds)

    def reason(self, key):
        try:
            self.holder.check(key)
        except Refusal as exc:
            return exc.reason
        return None

    async def wait_until(self, condition):
        async with asyncio.timeout(3):
            while not condition():
                await asyncio.sleep(0.01)


@asynccontextmanager
async def open_harness(*, is_announced_again=True):
    port = free_port()
    harness = HolderHarness(port)
    async with open_server(Server(harness.answer), HOST, port):
        task = asyncio.create_task(harness.holder.run())
        await asyncio.sleep(0.05)
        if is_announced_again:
            harness.announce()
        try:
            yield harness
        finally:
            task.cancel()
            harness.holder.cancel()


def make_shard(first=0, last=KEY_COUNT - 1, **fields):
    defaults = {"owner": "a", "born": 7, "fence": 3}
    return Shard(first, last, **{**defaults, **fields})
