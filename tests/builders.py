"""Builders of test data."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.records.claim import Claim
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.session_entry import SessionEntry
from burdockgap.wire.ids import new_id
from burdockgap.settings.reader import Reader

if TYPE_CHECKING:
    from burdockgap.settings.settings import Settings


def make_session(**fields: Any) -> SessionEntry:
    """Return a session entry with defaults for what is not given."""
    defaults = {
        "session_id": 1,
        "incarnation": 100 + int(fields.get("session_id", 1)),
        "name": f"records-{fields.get('session_id', 1)}",
        "service": "records",
        "data_centre": "dc1",
        "region": "r1",
        "peer_address": "127.0.0.1:1",
        "http_address": "127.0.0.1:2",
        "slots": 6,
        "witnesses": [],
        "successors": [],
    }
    return SessionEntry(**{**defaults, **fields})


def make_change(change: Any, **fields: Any) -> ConfigChange:
    """Return a configuration change with a new id by default."""
    defaults = {
        "record_id": new_id(),
        "at": 1.0,
        "author": "operator",
        "against": 0,
        "change": change,
    }
    return ConfigChange(**{**defaults, **fields})


def make_claim(**fields: Any) -> Claim:
    """Return a claim of the first term by default."""
    defaults = {
        "record_id": new_id(),
        "term": 1,
        "incarnation": 9,
        "name": "records-9",
        "peer_address": "127.0.0.1:9",
        "at": 1.0,
    }
    return Claim(**{**defaults, **fields})
def make_settings(**sections: dict[str, Any]) -> Settings:
    """Return default settings, overridden by the given sections."""
    document: dict[str, dict[str, Any]] = {
        "daemon": {"name": "d1", "data_centre": "dc1", "region": "r1"},
        "peer": {"secret": "sixteen-letters!"},
        "log": {"url": "http://127.0.0.1:1"},
    }
    for name, values in sections.items():
        document[name] = {**document.get(name, {}), **values}
    reader = Reader("test")
    settings = reader.read(document)
    assert not reader.problems
    return settings
