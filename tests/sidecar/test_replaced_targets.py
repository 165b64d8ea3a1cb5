"""Keys of a server whose connections are lost or that is replaced."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.incarnations.process_evidence import MAX_ANNOUNCEMENT_DELAY_S
from standins.sidecar.app_server import AppServer
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

HELD_AGAIN_S = 1.5
"""Half of the 3 s in which a key has to be served again."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def replace_app(machine):
    """Start the next process of a server, which was not heard yet."""
    machine.sends_heartbeats = False
    await machine.stop_app()
    machine.app = AppServer(f"{machine.app.target_id}b", keyed=True)
    await machine.start_app()


def tokens_of(machine):
    """Return the fencing tokens of all grants to a machine's server."""
    return {token for *_, token in machine.app.accepted}


async def test_server_with_lost_connections_gets_its_keys_back_at_once():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
        machine = site.machines[0]
        for count in range(2, 5):
            machine.cut_app_connections()
            await site.wait_until(
                lambda expected=count: len(tokens_of(machine)) == expected,
                HELD_AGAIN_S,
            )
            assert site.holders(0)


# OWNER: a server was granted keys in place of its earlier process, of
# which a heartbeat came late. Once it had announced itself, they were
# assigned to another server while it still held them.
async def test_keys_of_an_unannounced_server_go_nowhere_else():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
        machine = site.machines[0]
        earlier = machine.app
        await replace_app(machine)
        async with asyncio.timeout(3):
            while not machine.app.accepted:
                await asyncio.sleep(0.1)
                # A late heartbeat of the process that has ended.
                machine.send_heartbeat()
        machine.born += 1000
        machine.sequence = 0
        machine.send_heartbeat(draining=True)
        key = earlier.accepted[0][1]
        for _ in range(100):
            assert len(site.holders(key)) <= 1
            await asyncio.sleep(0.02)
        assert site.holders(key) == [site.machines[1]]
        assert not tokens_of(machine) & {
            token for *_, token in earlier.accepted
        }


# Without the store no range can get another token.
async def test_server_keeps_its_token_while_the_store_is_away():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
        machine = site.machines[0]
        # Time in which the process is proven to be the announced one.
        await asyncio.sleep(MAX_ANNOUNCEMENT_DELAY_S + 1.0)
        tokens = tokens_of(machine)
        site.store.down = True
        machine.cut_app_connections()
        cut_at = asyncio.get_running_loop().time()
        granted_again_at = None
        async with asyncio.timeout(MAX_ANNOUNCEMENT_DELAY_S + 2.0):
            while granted_again_at is None:
                await asyncio.sleep(0.05)
                times = [at for at, *_ in machine.app.accepted if at > cut_at]
                granted_again_at = min(times, default=None)
        assert granted_again_at - cut_at > MAX_ANNOUNCEMENT_DELAY_S
        assert tokens_of(machine) == tokens
