"""Builders of test data."""

from __future__ import annotations

from typing import Any

from burdockgap.records.session_entry import SessionEntry


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
