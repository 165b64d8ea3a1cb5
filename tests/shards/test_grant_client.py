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
from tests.http1.sockets import HOST
from tests.ports import free_port
from tests.shards.test_shard_holder import make_shard
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
        assert not client.may_grant()


# OWNER: a target that had restarted got keys under the token of its
# earlier process.
async def test_grant_is_not_sent_to_a_process_that_started_meanwhile(
    monkeypatch,
):
    grants = []

    async def answer(req):
        grants.append(req.path)
        return Response(200)

    address = (HOST, free_port())
    state = GateHarness().state
    client = GrantClient(state=state, protocol=PlatformTargetProtocol())
    connect = ClientPool.connect

    async def connect_while_the_target_restarts(pool):
        await connect(pool)
        state.announced(make_info(address=address, born=8, sequence=1))

    monkeypatch.setattr(
        ClientPool, "connect", connect_while_the_target_restarts
    )
    async with open_server(Server(answer), *address):
        state.announced(make_info(address=address, born=7, sequence=1))
        with pytest.raises(ExchangeError, match="may have restarted"):
            await client.grant(make_shard(born=7), 1.0, "")
    assert grants == []
