"""Operators' documents in the order in which they take effect."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.platform.documents import PlatformDocuments
from burdockgap.routing import documents as documents_module
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
        self.documents.apply([(key, value)], (1, end), "store")

    def restore(self, values, end=1):
        """Replace all documents by those of a store's older copy."""
        self.documents.replace(values, (2, end), "store")


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
        {"config": make_site_config("00000003")}, (1, 5), "m1"
    )
    assert harness.documents.data_centres_out


async def test_replace_removes_missing_documents():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 5)
    harness.put("evacuate/dc1", b"{}", 6)
    harness.documents.replace(
        {"config": make_site_config("00000003")}, (1, 7), "m1"
    )
    assert not harness.documents.data_centres_out
    assert harness.documents.position == (1, 7)


# CONFIG: after the store had returned from an older copy, all that it
# said counted as older than what was known, for ever.
async def test_documents_after_a_restore_of_the_store_take_effect():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 5)
    harness.restore({"config": make_site_config("00000003")})
    harness.documents.apply(
        [("config", make_site_config("00000004"))], (2, 2), "store"
    )
    assert harness.documents.config.version == 4
    assert harness.documents.position == (2, 2)


async def test_restored_store_does_not_revert_the_configuration():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000002"), 1)
    harness.put("config", make_site_config("00000003"), 2)
    harness.restore({"config": make_site_config("00000002")})
    assert harness.documents.config.version == 3
    newest = make_site_config("00000003")
    assert harness.documents.stored["config"] == newest


async def test_restored_store_without_configuration_keeps_it():
    harness = DocumentsHarness()
    harness.put("config", make_site_config("00000003"), 1)
    harness.restore({}, end=0)
    assert harness.documents.config.version == 3
    assert "config" in harness.documents.stored


# EVAC: an evacuation that the store lost stays in force until operators
# have had time to write it again.
async def test_data_centre_lost_by_a_restore_stays_out(monkeypatch):
    monkeypatch.setattr(documents_module, "REWRITE_TIMEOUT_S", 0.05)
    harness = DocumentsHarness()
    config = make_site_config("00000003")
    harness.put("config", config, 1)
    harness.put("evacuate/dc1", b"{}", 2)
    harness.put("evacuate/dc2", b"{}", 3)
    harness.restore({"config": config})
    assert set(harness.documents.data_centres_out) == {"dc1", "dc2"}
    assert set(harness.documents.stored) == {"config"}
    # A peer that read the same copy says nothing new.
    harness.restore({"config": config}, end=2)
    assert set(harness.documents.data_centres_out) == {"dc1", "dc2"}
    harness.documents.apply([("evacuate/dc1", b"{}")], (2, 3), "store")
    await asyncio.sleep(0.1)
    assert set(harness.documents.data_centres_out) == {"dc1"}


async def test_withdrawn_data_centre_does_not_return_at_once(monkeypatch):
    monkeypatch.setattr(documents_module, "REWRITE_TIMEOUT_S", 0.05)
    harness = DocumentsHarness()
    config = make_site_config("00000003")
    harness.put("config", config, 1)
    for key in ("evacuate/dc1", "evacuate/dc2"):
        harness.put(key, b"{}", 2)
        harness.put(key, None, 3)
    copy = {
        "config": config,
        "evacuate/dc1": b"{}",
        "evacuate/dc2": b"{}",
    }
    harness.restore(copy)
    assert not harness.documents.data_centres_out
    harness.documents.apply([("evacuate/dc1", None)], (2, 2), "store")
    await asyncio.sleep(0.1)
    assert set(harness.documents.data_centres_out) == {"dc2"}


async def test_invalid_configuration_is_not_passed_on():
    harness = DocumentsHarness()
    config = make_site_config("00000003")
    harness.put("config", config, 1)
    harness.put("config", b"{", 2)
    assert harness.documents.stored == {"config": config}
