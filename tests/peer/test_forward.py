"""Forwarding from a router to a gate over TCP connections."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.http.caller_gone import CallerGone
from burdockgap.metrics import Metrics
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.forward import forward
from burdockgap.peer.forward_handler import ForwardHandler
from burdockgap.peer.messages.done import Done
from burdockgap.peer.method import PING
from burdockgap.peer.pool import open_pool
from burdockgap.peer.service import PeerService, serve_peers
from burdockgap.router.server_table import ServerTable
from burdockgap.target import TargetReply
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import make_gate_request, make_session
from tests.peer.blackhole_relay import open_blackhole_relay

SECRET = b"sixteen-letters!"
NOT_RUN = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")


class FakeGate:
    """Answers with the request's body, three times, after a delay."""

    def __init__(self):
        self.delay_s = 0.0
        self.refusal = None
        self.part_delay_s = 0.0
        self.part = b""
        self.ended = anyio.Event()
        self.served = []
        self.cancelled = []
        self.stats = type("Stats", (), {"demand": 3, "limit": 6})

    @asynccontextmanager
    async def serve(self, req):
        self.served.append(req.request_id)
        try:
            body = b"".join([part async for part in req.body])
            if self.refusal is not None:
                raise self.refusal
            await anyio.sleep(self.delay_s)
            yield TargetReply(
                status=200, headers=[("x", "1")], body=self.parts(body)
            )
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(req.request_id)
            raise

    async def parts(self, body):
        try:
            for _ in range(3):
                yield self.part or body
                await anyio.sleep(self.part_delay_s)
        finally:
            self.ended.set()


class ForwardSetup:
    def __init__(self, pool, gate, relay, entry):
        self.pool = pool
        self.gate = gate
        self.relay = relay
        self.entry = entry
        self.stats = ServerTable(BootClock()).stats(entry)

    async def call(
        self, request_id="r", body=b"b", timeout_s=3.0, source=None
    ):
        req = make_gate_request(request_id, content=body)
        req.body = source or req.body
        try:
            async with forward(
                self.pool, self.entry, req, timeout_s, self.stats
            ) as reply:
                return b"".join([part async for part in reply.body])
        except Refusal as refusal:
            return refusal.verdict, refusal.reason


@asynccontextmanager
async def open_setup():
    clock = BootClock()
    gate = FakeGate()
    handler = ForwardHandler(name="d2", clock=clock, send_timeout_s=0.5)
    handler.gate = gate
    service = PeerService(
        auth=PeerAuth(SECRET), metrics=Metrics(), forward=handler
    )

    async def pong(_msg):
        return Done(taken=True)

    service.add(PING, pong)
    pool = open_pool(
        auth=PeerAuth(SECRET), clock=clock, metrics=Metrics(), keepalive_s=0.3
    )
    async with serve_peers(service, "127.0.0.1:0") as server:
        port = server._server.sockets[0].getsockname()[1]
        async with open_blackhole_relay(port) as relay:
            entry = make_session(peer_address=relay.address)
            with pool as opened:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(opened.watch)
                    yield ForwardSetup(opened, gate, relay, entry)
                    tasks.cancel_scope.cancel()


@pytest.fixture(params=[pytest.param("asyncio", id="asyncio")])
def anyio_backend(request):
    return request.param


pytestmark = pytest.mark.anyio


async def test_concurrent_answers_reach_their_own_requests():
    async with open_setup() as setup:
        results = {}

        async def call(number):
            body = f"body-{number}-".encode() * (number + 1)
            results[number] = await setup.call(f"r{number}", body) == body * 3

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(call, number)
        assert all(results.values())
        assert setup.relay.opened == 1


async def test_refusal_of_the_gate_is_kept():
    async with open_setup() as setup:
        setup.gate.refusal = NOT_RUN
        assert await setup.call() == (Verdict.NOT_RUN, Reason.QUEUE_FULL)
        assert setup.stats.load_share(BootClock().now()) > 0.4


async def test_closed_port_is_not_run():
    async with open_setup() as setup:
        setup.entry.peer_address = "127.0.0.1:1"
        assert await setup.call() == (Verdict.NOT_RUN, Reason.UNREACHABLE)


async def test_connection_silent_while_idle_is_replaced():
    async with open_setup() as setup:
        assert await setup.call("first") == b"bbb"
        await anyio.sleep(0.4)
        setup.relay.drop_traffic()
        started = time.monotonic()
        assert await setup.call("second") == b"bbb"
        assert time.monotonic() - started < 0.5
        assert setup.relay.opened == 2
        assert setup.gate.served == ["first", "second"]


async def test_connection_silent_under_requests_is_given_up():
    """Requests end before their deadline and as ``may-have-run``."""
    async with open_setup() as setup:
        setup.gate.delay_s = 0.1
        assert await setup.call("first") == b"bbb"
        setup.gate.delay_s = 60.0
        results = {}

        async def call(number):
            results[number] = await setup.call(f"r{number}", timeout_s=10.0)

        started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(call, number)
            await anyio.sleep(0.2)
            setup.relay.drop_traffic()
        assert time.monotonic() - started < 2.5
        lost = Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST
        assert set(results.values()) == {lost}
        setup.gate.delay_s = 0.0
        assert await setup.call("later") == b"bbb"


async def test_answer_on_a_silent_connection_is_truncated():
    async with open_setup() as setup:
        setup.gate.part_delay_s = 0.3
        results = []

        async def call():
            results.append(await setup.call(body=b"part"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.2)
            setup.relay.drop_traffic()
        assert results == [(Verdict.MAY_HAVE_RUN, Reason.TRUNCATED)]


async def test_slow_peer_keeps_its_requests():
    async with open_setup() as setup:
        setup.gate.delay_s = 1.5
        assert await setup.call() == b"bbb"
        assert setup.relay.opened == 1


async def test_abandoned_request_is_cancelled_at_the_peer():
    async with open_setup() as setup:
        setup.gate.delay_s = 60.0
        with anyio.move_on_after(0.2):
            await setup.call("left")
        await anyio.sleep(0.1)
        assert setup.gate.cancelled == ["left"]


async def test_connection_closed_while_waiting_may_have_run():
    async with open_setup() as setup:
        assert await setup.call("first") == b"bbb"
        setup.gate.delay_s = 60.0
        results = []

        async def call():
            results.append(await setup.call("second"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.1)
            setup.pool.close()
        assert results == [(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST)]


async def test_router_that_stops_reading_frees_the_gate():
    """A silent router must not hold a target's slot indefinitely."""
    async with open_setup() as setup:
        setup.gate.part = bytes(8_000_000)
        req = make_gate_request("r", content=b"b")
        async with forward(setup.pool, setup.entry, req, 3.0, setup.stats):
            setup.relay.drop_traffic()
            with anyio.fail_after(2.0):
                await setup.gate.ended.wait()


async def test_body_that_fails_ends_the_request_at_the_peer():
    async def broken():
        yield b"start"
        raise CallerGone

    async with open_setup() as setup:
        with anyio.fail_after(1.0):
            verdict, _ = await setup.call("broken", source=broken())
        assert verdict is Verdict.MAY_HAVE_RUN
        await anyio.sleep(0.1)
        assert setup.gate.cancelled == ["broken"]
