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


class DocumentsHarness:
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
async def test_invalid_config_keeps_the_old_one(value):
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 1)
    harness.put("config", value, 2)
    assert harness.documents.config.version == 3
    assert harness.events[-1][0] == "document_refused"
    assert harness.events[-1][1]["why"]


async def test_newer_config_takes_effect():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 1)
    harness.put("config", make_site_config("0000000a"), 2)
    assert harness.documents.config.version == 10


async def test_data_centre_out_and_in():
    harness = DocumentsHarness()
    harness.put("evacuate/dc1", b"{}", 1)
    assert set(harness.documents.data_centres_out) == {"dc1"}
    harness.put("evacuate/dc1", None, 2)
    assert not harness.documents.data_centres_out


async def test_replace_ignores_an_older_state():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 5)
    harness.put("evacuate/dc1", b"{}", 6)
    harness.documents.replace(
        {"config": make_site_config("00000003")}, 5, "m1"
    )
    assert harness.documents.data_centres_out


async def test_replace_removes_missing_documents():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 5)
    harness.put("evacuate/dc1", b"{}", 6)
    harness.documents.replace(
        {"config": make_site_config("00000003")}, 7, "m1"
    )
    assert not harness.documents.data_centres_out
    assert harness.documents.end == 7
