"""Fetching of documents from members that are slow to reply."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.hop.call_kinds import GET_CONTROL_STATE
from burdockgap.platform.documents import PlatformDocuments
from burdockgap.routing.documents import Documents
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_view import ControlView
from burdockgap.sidecar.peer_fetcher import PeerFetcher
from burdockgap.wire.compression import compress
from standins.sidecar.documents import make_site_config
from tests.shards.builders import make_member

pytestmark = pytest.mark.anyio

APPLY_S = 2.0
"""Bound for a configuration, from its acknowledgement."""
BEACON_INTERVAL_S = 0.2
"""Several members send one each second."""
SLOW = make_member("slow", address=("127.0.0.1", 1), documents=(0, 5))
OTHER = make_member("other", address=("127.0.0.1", 2), documents=(0, 5))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakePeers:
    """Peers with one configuration, one of which replies late."""

    def __init__(self):
        self.calls = []
        self.sends_slowly = False

    async def call_once(self, address, kind, _payload, *, progress):
        self.calls.append(address)
        if address == SLOW.address:
            for _ in range(40):
                await asyncio.sleep(0.1)
                if self.sends_slowly:
                    progress.note()
        if kind == GET_CONTROL_STATE:
            return compress(ControlState(term=1, revision=5).encode())
        return {"config": make_site_config()}, [0, 5]


class FetchHarness:
    """A fetcher and what it fetches; its tasks end with the test."""

    def __init__(self):
        self.peers = FakePeers()
        self.tasks = []
        self.view = ControlView(lambda: None)
        self.documents = Documents(
            PlatformDocuments(),
            on_change=lambda: None,
            on_event=lambda _event, _fields: None,
        )
        self.fetcher = PeerFetcher(
            peer_connections=self.peers,
            view=self.view,
            documents=self.documents,
            store_lost=lambda: True,
            spawn=lambda coro: self.tasks.append(asyncio.create_task(coro)),
            on_event=lambda _event, _fields: None,
        )


@pytest.fixture
async def harness():
    harness = FetchHarness()
    yield harness
    for task in harness.tasks:
        task.cancel()


# CONFIG: while the first member that told of a new configuration was
# slow to give it, up to 5 s, no other was asked.
async def test_slow_member_does_not_hold_up_a_configuration(harness):
    harness.fetcher.request_documents(SLOW)
    async with asyncio.timeout(APPLY_S):
        while harness.documents.config is None:
            await asyncio.sleep(BEACON_INTERVAL_S)
            harness.fetcher.request_documents(OTHER)


# Many members tell of a change at once; each copy takes time on links.
async def test_one_member_is_asked_while_its_reply_is_recent(harness):
    for _ in range(3):
        harness.fetcher.request_documents(OTHER)
        harness.fetcher.request_documents(SLOW)
    await asyncio.sleep(0.1)
    assert harness.peers.calls == [OTHER.address]


# A second copy would take as much of the receiver's slow link.
async def test_no_other_member_is_asked_while_a_reply_arrives(harness):
    harness.peers.sends_slowly = True
    harness.fetcher.request_documents(SLOW)
    for _ in range(10):
        await asyncio.sleep(BEACON_INTERVAL_S)
        harness.fetcher.request_documents(OTHER)
    assert harness.peers.calls == [SLOW.address]


# CONFIG: members that wait for an assignment get no lease.
async def test_slow_member_does_not_hold_up_an_assignment(harness):
    harness.fetcher.request_control_state(SLOW, (1, 5))
    async with asyncio.timeout(APPLY_S):
        while harness.view.version < (1, 5):
            await asyncio.sleep(BEACON_INTERVAL_S)
            harness.fetcher.request_control_state(OTHER, (1, 5))


async def test_first_complete_reply_ends_the_other_fetch(harness):
    harness.fetcher.request_documents(SLOW)
    while harness.documents.config is None:
        await asyncio.sleep(BEACON_INTERVAL_S)
        harness.fetcher.request_documents(OTHER)
    await asyncio.sleep(0.05)
    assert all(task.done() for task in harness.tasks)
