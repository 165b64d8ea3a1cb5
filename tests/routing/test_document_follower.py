"""When a read that waits for changes is started again."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins.sidecar.documents import make_site_config
from tests.routing.builders import FollowerHarness

pytestmark = pytest.mark.anyio

LONG_WAIT_S = 10.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def following():
    """Run a follower until it waits for changes."""
    harness = FollowerHarness()
    task = asyncio.create_task(harness.follower.run())
    try:
        await harness.wait_until(lambda: harness.store.waits == [LONG_WAIT_S])
        yield harness
    finally:
        task.cancel()


# CONFIG: a read went on to wait at an offset of the earlier generation.
async def test_documents_are_listed_once_a_later_generation_is_known():
    async with following() as harness:
        store = harness.store
        store.values = {"config": make_site_config("00000004")}
        store.stored_generation = 2
        store.generation.note(2)
        await harness.wait_until(lambda: harness.documents.config_version == 4)
        assert harness.documents.position == (2, 1)


# CONFIG: a read went on to wait below a position learned from a peer.
async def test_read_starts_again_at_a_position_learned_from_a_peer():
    async with following() as harness:
        values = {"config": make_site_config("00000004")}
        harness.documents.replace(values, (1, 7), "m2")
        await harness.wait_until(lambda: len(harness.store.waits) == 2)
        assert harness.documents.position == (1, 7)


# CONFIG: a new coordinator went on to wait with the members' timeout.
async def test_new_coordinator_shortens_the_wait():
    async with following() as harness:
        harness.is_coordinator = True
        harness.follower.refresh()
        await harness.wait_until(lambda: len(harness.store.waits) == 2)
        assert harness.store.waits[-1] < 2.0


# A store whose responses were of an earlier generation than peers knew
# was read in a loop without a pause.
@pytest.mark.parametrize("records", [[], [("config", b"{}")]])
async def test_store_of_an_earlier_generation_is_read_with_pauses(records):
    async with following() as harness:
        harness.store.generation.note(2)
        harness.documents.replace(harness.store.values, (2, 1), "m2")
        harness.store.records = records
        calls = len(harness.store.waits) + harness.store.lists
        await asyncio.sleep(0.5)
        added = len(harness.store.waits) + harness.store.lists - calls
        assert 1 <= added <= 5


async def test_first_read_after_an_outage_does_not_wait():
    async with following() as harness:
        harness.follower.lost = True
        harness.follower.refresh()
        await harness.wait_until(lambda: len(harness.store.waits) == 3)
        assert harness.store.waits[1:] == [0.0, LONG_WAIT_S]


# CONFIG: a read on a connection that had fallen silent was given up
# after another second, and all members waited for it.
async def test_late_read_is_repeated_on_a_new_connection():
    async with following() as harness:
        store = harness.store
        harness.is_coordinator = True
        store.silent_reads = 1
        harness.follower.refresh()
        await harness.wait_until(lambda: len(store.waits) == 2)
        closings = store.closings
        store.records = [("config", make_site_config("00000004"))]
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(5.0):
            while harness.documents.config_version != 4:
                await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - started_at < 2.0
        assert store.closings > closings
        assert not harness.follower.lost


# CONFIG: a change that a peer tells first shows that the own read may
# be on a silent connection; so may the idle ones.
async def test_idle_connections_are_closed_if_a_peer_was_first():
    async with following() as harness:
        values = {"config": make_site_config("00000004")}
        harness.documents.replace(values, (1, 7), "m2")
        await harness.wait_until(lambda: len(harness.store.waits) == 2)
        assert harness.store.closings == 1
