"""Grants to a target that may have restarted."""

from __future__ import annotations

import pytest

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.shards.grant_client import GrantClient
from tests.forward.builders import GateHarness
from tests.http1.sockets import HOST, open_scripted_server, read_head
from tests.ports import free_port
from tests.shards.holder_harness import make_shard
from tests.shards.watched_target import open_target
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


# OWNER, soak seed 1173: a connection that a release had opened to the
# next process counted as proof of the earlier one, whose announcement
# came late.
async def test_connection_of_a_release_is_no_proof_for_grants():
    async def answer(_req):
        return Response(200)

    address = (HOST, free_port())
    state = GateHarness().state
    client = GrantClient(state=state, protocol=PlatformTargetProtocol())
    async with open_server(Server(answer), *address):
        state.announced(make_info(address=address, born=7, sequence=1))
        assert await client.release(0, 9, 1) == ""
        state.announced(make_info(address=address, born=7, sequence=2))
        assert not client.may_grant(make_shard(born=7))


# OWNER: a target that had restarted got keys under the token of its
# earlier process.
async def test_grant_is_not_sent_to_a_process_that_started_meanwhile():
    async with open_target() as target, target.open_process() as process:
        target.announce()
        await target.wait_connected()
        target.announce()
        shard = target.make_shard()
        assert target.client.may_grant(shard)
        target.born += 1
        target.announce()
        with pytest.raises(ExchangeError, match="no connection"):
            await target.client.grant(shard, 1.0, "")
        assert process.fences == []


# A server that had just started was taken for ended, as its predecessor
# had refused a connection.
async def test_refused_release_does_not_end_a_later_process(monkeypatch):
    async with open_target() as target:
        target.announce()
        exchange = ClientPool.exchange

        async def announce_next(pool, *args: object, **options: object):
            try:
                return await exchange(pool, *args, **options)
            finally:
                target.born += 1
                target.announce()

        monkeypatch.setattr(ClientPool, "exchange", announce_next)
        assert await target.client.release(0, 9, 1) == ""
        assert target.state.up


GRANTED = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
ANSWERED = b"HTTP/1.1 200 OK\r\nattempt-id: r1\r\ncontent-length: 0\r\n\r\n"
RELEASED = b"HTTP/1.1 200 OK\r\nhandover: h\r\ncontent-length: 0\r\n\r\n"


# OWNER: a late second copy of another response was taken for the answer
# to a release, and the keys were granted elsewhere while requests on
# them were still running.
@pytest.mark.parametrize(
    ("copy", "is_on_every_connection"),
    [
        pytest.param(GRANTED, False, id="of-a-grant"),
        pytest.param(ANSWERED, True, id="of-a-request"),
    ],
)
async def test_second_copy_of_another_response_is_no_release(
    copy, is_on_every_connection
):

    async def script(reader, writer):
        is_first = True
        while not reader.at_eof():
            head = await read_head(reader)
            await reader.readexactly(_body_size(head))
            if b"/api/grant" in head:
                writer.write(GRANTED)
            else:
                if is_on_every_connection or not is_first:
                    writer.write(copy)
                writer.write(RELEASED)
            is_first = False

    async with open_target() as target, open_scripted_server(script) as addr:
        target.port = addr[1]
        target.announce()
        await target.wait_connected()
        target.announce()
        assert await target.grant() == 200
        assert await target.client.release(0, 9, 1) == "h"


def _body_size(head):
    return int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
