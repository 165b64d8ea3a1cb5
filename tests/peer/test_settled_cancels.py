"""What a lost connection leaves behind in the calling task."""

from __future__ import annotations

import asyncio

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.metrics import Metrics
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.forward import forward
from burdockgap.peer.messages.done import Done
from burdockgap.peer.method import JOIN, PING
from burdockgap.peer.pool import PEER_ERRORS, open_pool
from burdockgap.peer.service import PeerService, serve_peers
from burdockgap.router.server_table import ServerTable
from burdockgap.verdict import Refusal
from tests.builders import make_gate_request, make_session
from tests.coordinator.test_admission import make_join

AUTH = PeerAuth(b"secret-of-sixteen-or-more")


class LostHandler:
    """Closes every connection in the middle of a call."""

    def __init__(self):
        self.server = None
        self.gate = None

    async def lose(self, _msg):
        for handler in set(self.server._handlers):
            handler.close()
        await anyio.sleep(1)

    async def serve(self, _stream, head):
        await self.lose(head)


async def call_unary(pool, address):
    with pytest.raises(PEER_ERRORS):
        await pool.call(address, JOIN, make_join(1, "dc1"), 3.0)


async def call_forward(pool, address):
    entry = make_session(peer_address=address)
    stats = ServerTable(BootClock()).stats(entry)
    with pytest.raises(Refusal):
        async with forward(pool, entry, make_gate_request(), 3.0, stats):
            pass


async def pong(_msg):
    return Done(taken=True)


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(call_unary, id="unary"),
        pytest.param(call_forward, id="forward"),
    ],
)
def test_time_limit_after_lost_call(call, free_tcp_port):
    address = f"127.0.0.1:{free_tcp_port}"
    clock, metrics = BootClock(), Metrics()
    handler = LostHandler()
    service = PeerService(auth=AUTH, metrics=metrics, forward=handler)
    service.add(PING, pong)
    service.add(JOIN, handler.lose)

    async def main():
        async with serve_peers(service, address) as server:
            handler.server = server
            with open_pool(
                auth=AUTH, clock=clock, metrics=metrics, keepalive_s=5.0
            ) as pool:
                await call(pool, address)
            assert asyncio.current_task().cancelling() == 0
            with anyio.move_on_after(0.01) as scope:
                await anyio.sleep(1)
            return scope.cancelled_caught

    assert anyio.run(main)
