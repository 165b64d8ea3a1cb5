"""Long messages that the receiver's link paces."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockgap.downlink import Downlink
from burdockgap.hop.frames import (
    CALL,
    GRANT,
    OFFER,
    PING,
    REPLY,
    FrameBuffer,
    encode_frame,
)
from burdockgap.hop.listener import open_listener
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.hop.peer_connections import PeerConnections
from burdockgap.resources.memory_budget import MemoryBudget
from burdockgap.uplink import Uplink
from standins.sidecar.downlink import Downlink as SlowLink
from tests.http1.sockets import HOST
from tests.ports import free_port

pytestmark = pytest.mark.anyio

LINK_BYTES_PER_S = 1_000_000
FAST_BYTES_PER_S = 125e6
BODY = b"x" * 100_000
SENDERS = 12
BUDGET_BYTES = 1_000_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Receiver:
    """A daemon's listener behind a slow link."""

    def __init__(self, address):
        self.address = address
        self.downlink = Downlink(LINK_BYTES_PER_S)
        self.link = SlowLink(LINK_BYTES_PER_S)
        self.refused_s = []

    def refuse(self, backlog_s):
        self.refused_s.append(backlog_s)
        return "refused"


@asynccontextmanager
async def open_receiver():
    receiver = Receiver((HOST, free_port()))
    port = free_port()

    async def note(payload):
        return len(payload)

    async with (
        open_listener(
            {1: note, 2: note},
            HOST,
            port,
            uplink=Uplink(FAST_BYTES_PER_S),
            downlink=receiver.downlink,
            link_refusals={1: receiver.refuse},
        ),
        receiver.link.open_port(receiver.address, (HOST, port)),
    ):
        yield receiver


@asynccontextmanager
async def open_senders(count):
    senders = [PeerConnections(Uplink(FAST_BYTES_PER_S)) for _ in range(count)]
    yield senders
    for sender in senders:
        sender.close()


def begin_calls(senders, receiver, **options):
    return [
        asyncio.create_task(sender.call(receiver.address, 1, BODY, **options))
        for sender in senders
    ]


# CONFIG: a short call waited behind the bodies of all senders.
async def test_short_call_does_not_wait_behind_long_ones_of_others():
    async with open_receiver() as receiver, open_senders(SENDERS) as senders:
        calls = begin_calls(senders, receiver)
        delays_s = []
        while not all(call.done() for call in calls):
            delays_s.append(receiver.link.delay_s)
            await asyncio.sleep(0.01)
        assert [call.result() for call in calls] == [len(BODY)] * SENDERS
        assert max(delays_s) < 0.1
        assert receiver.downlink.backlog_s == 0


async def test_call_that_would_wait_too_long_is_refused_unsent():
    async with open_receiver() as receiver, open_senders(4) as senders:
        *others, sender = senders
        calls = begin_calls(others, receiver)
        await asyncio.sleep(0.05)
        delivered_bytes = receiver.link.delivered_bytes
        reply = await sender.call(receiver.address, 1, BODY, max_wait_s=0.1)
        assert reply == "refused"
        assert receiver.refused_s[0] > 0.1
        sent_bytes = receiver.link.delivered_bytes - delivered_bytes
        assert sent_bytes < len(BODY)
        # Of another kind, it waits.
        size = await sender.call(receiver.address, 2, BODY, max_wait_s=0.1)
        assert size == len(BODY)
        await asyncio.gather(*calls)


async def test_cancelled_calls_leave_their_grants_to_others():
    async with open_receiver() as receiver, open_senders(SENDERS) as senders:
        *others, sender = senders
        calls = begin_calls(others, receiver)
        await asyncio.sleep(0.05)
        for call in calls:
            call.cancel()
        async with asyncio.timeout(0.5):
            assert await sender.call(receiver.address, 1, BODY) == len(BODY)
        assert receiver.downlink.backlog_s == 0


async def test_lost_connection_leaves_its_grants_to_others():
    async with open_receiver() as receiver, open_senders(2) as senders:
        reader, writer = await asyncio.open_connection(*receiver.address)
        for call_id in range(3):
            writer.write(encode_frame(OFFER, call_id, 10**6, 0.0, 1, None))
        await reader.read(1)
        assert receiver.downlink.backlog_s > 2
        writer.close()
        async with asyncio.timeout(1.0):
            assert await asyncio.gather(*begin_calls(senders, receiver))
        assert receiver.downlink.backlog_s == 0


@pytest.mark.parametrize(
    "values",
    [
        pytest.param([1, 0, 0.0, 1, None], id="empty"),
        pytest.param([1, "x", 0.0, 1, None], id="no-size"),
        pytest.param([1, 5], id="too-short"),
    ],
)
async def test_invalid_offer_closes_the_connection(values):
    async with open_receiver() as receiver:
        reader, writer = await asyncio.open_connection(*receiver.address)
        writer.write(encode_frame(OFFER, *values))
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()


async def test_long_replies_are_granted_by_the_caller():
    port = free_port()

    async def reply(_payload):
        return BODY

    async with open_listener(
        {1: reply}, HOST, port, uplink=Uplink(FAST_BYTES_PER_S)
    ):
        downlink = Downlink(LINK_BYTES_PER_S)
        caller = PeerConnections(downlink=downlink)
        assert await caller.call((HOST, port), 1, None) == BODY
        assert downlink.backlog_s == 0
        caller.close()


async def test_offered_reply_waits_for_a_grant():
    port = free_port()

    async def reply(_payload):
        return BODY

    async with open_listener(
        {1: reply}, HOST, port, uplink=Uplink(FAST_BYTES_PER_S)
    ):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(encode_frame(0, 1, 1, None))
        frames = [*FrameBuffer().feed(await reader.read(100))]
        assert frames[0][:2] == [OFFER, 1]
        assert REPLY not in [frame[0] for frame in frames]
        assert frames[0][2] > len(BODY)
        writer.close()


@asynccontextmanager
async def open_replier():
    """Serve long replies; yield the address and a test for activity."""
    port = free_port()

    async def reply(_payload):
        return BODY

    async with open_listener(
        {1: reply}, HOST, port, uplink=Uplink(FAST_BYTES_PER_S)
    ) as is_busy:
        yield (HOST, port), is_busy


# Bodies of a sender that was gone counted as backlog for good, so that
# all others were refused.
async def test_offers_of_a_silent_caller_are_given_up():
    async with open_receiver() as receiver:
        reader, writer = await asyncio.open_connection(*receiver.address)
        writer.write(encode_frame(OFFER, 1, 10**6, 0.0, 1, None))
        assert await reader.read(100)
        assert receiver.downlink.backlog_s > 0.9
        async with asyncio.timeout(4.5):
            assert await reader.read() == b""
        assert receiver.downlink.backlog_s == 0
        writer.close()


# A stopping daemon waited for replies that nobody would ever grant.
async def test_reply_to_a_silent_caller_is_given_up():
    async with open_replier() as (address, is_busy):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(encode_frame(CALL, 1, 1, None))
        assert await reader.read(100)
        assert is_busy()
        async with asyncio.timeout(4.5):
            assert await reader.read() == b""
        await asyncio.sleep(0.1)
        assert not is_busy()
        writer.close()


async def test_reply_waits_for_a_caller_that_pings():
    async with open_replier() as (address, is_busy):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(encode_frame(CALL, 1, 1, None))
        for _ in range(10):
            await asyncio.sleep(0.4)
            writer.write(encode_frame(PING))
        assert is_busy()
        writer.write(encode_frame(GRANT, 1, 10**6))
        data = b""
        async with asyncio.timeout(1.0):
            while len(data) < len(BODY):
                data += await reader.read(10**6)
        await asyncio.sleep(0.1)
        assert not is_busy()
        writer.close()


async def test_reply_that_does_not_fit_is_given_up():
    budget = MemoryBudget(BUDGET_BYTES)
    async with open_replier() as (address, is_busy):
        with budget.hold(BUDGET_BYTES, "other"):
            caller = PeerConnections(
                budget=budget, downlink=Downlink(LINK_BYTES_PER_S)
            )
            with pytest.raises(PeerCallError):
                await caller.call(address, 1, None)
        await asyncio.sleep(0.1)
        assert not is_busy()
        caller.close()
