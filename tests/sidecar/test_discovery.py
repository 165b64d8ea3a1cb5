"""Tests of the members' entries in the store."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.sidecar import discovery as discovery_module
from burdockgap.sidecar.discovery import Discovery
from tests.shards.fakes import FakeStore, make_roster

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EntryStore(FakeStore):
    """Removes its value as well."""

    async def remove(self, _topic, _key):
        self.value = None


# A member that left while its entry was being written again after a
# restore came back into the topic and stayed there for good.
async def test_withdrawn_member_does_not_retry_its_entry(monkeypatch):
    monkeypatch.setattr(discovery_module, "_RETRY_DELAY_S", 0.01)
    store = EntryStore()
    store.fails = True
    discovery = Discovery(
        store=store,
        roster=make_roster("a", ()),
        on_event=lambda _event, _fields: None,
    )
    task = asyncio.create_task(discovery.run())
    await asyncio.sleep(0.03)
    await discovery.withdraw()
    store.fails = False
    await asyncio.wait([task], timeout=0.2)
    assert store.value is None
    assert task.done()
