"""Operators' documents in the order in which they take effect."""

from __future__ import annotations

import pytest

from burdockgap.platform.documents import PlatformDocuments
from burdockgap.routing.documents import Documents
from standins.sidecar.documents import make_site_config

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World:
    def __init__(self):
        self.events = []
        self.changes = 0
        self.documents = Documents(
            PlatformDocuments(),
            on_change=self._changed,
            on_event=lambda event, fields: self.events.append((event, fields)),
        )

    def _changed(self):
        self.changes += 1

    def put(self, key, value, end):
        self.documents.apply([(key, value)], end, "store")


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(make_site_config("00000002"), id="older"),
        pytest.param(b'{"version": "00000009"', id="cut-short"),
        pytest.param(b'{"version": "00000009"}', id="no-resources"),
        pytest.param(b"\xff", id="no-text"),
    ],
)
async def test_config_unusable_leaves_the_old_one(value):
    world = World()
    world.put("config", make_site_config("00000003"), 1)
    world.put("config", value, 2)
    assert world.documents.config.version == 3
    assert world.events[-1][0] == "document_refused"
    assert world.events[-1][1]["why"]


async def test_config_newer_counts():
    world = World()
    world.put("config", make_site_config("00000003"), 1)
    world.put("config", make_site_config("0000000a"), 2)
    assert world.documents.config.version == 10


async def test_data_centre_out_and_in():
    world = World()
    world.put("evacuate/dc1", b"{}", 1)
    assert set(world.documents.data_centres_out) == {"dc1"}
    world.put("evacuate/dc1", None, 2)
    assert not world.documents.data_centres_out


async def test_replace_older_state_is_passed_over():
    world = World()
    world.put("config", make_site_config("00000003"), 5)
    world.put("evacuate/dc1", b"{}", 6)
    world.documents.replace({"config": make_site_config("00000003")}, 5, "m1")
    assert world.documents.data_centres_out


async def test_replace_newer_state_removes_what_is_gone():
    world = World()
    world.put("config", make_site_config("00000003"), 5)
    world.put("evacuate/dc1", b"{}", 6)
    world.documents.replace({"config": make_site_config("00000003")}, 7, "m1")
    assert not world.documents.data_centres_out
    assert world.documents.end == 7
