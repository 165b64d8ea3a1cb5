"""Builders of test data."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.clock import BootClock
from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.gate.gate_request import GateRequest
from burdockgap.records.session_entry import SessionEntry
from burdockgap.target import TargetInfo, TargetRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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


def make_gate_request(request_id: str = "r1", **fields: Any) -> GateRequest:
    """Return a gate request that is idempotent and has no key."""
    body = fields.pop("content", b"")
    defaults = {
        "request_id": request_id,
        "service": "records",
        "method": "POST" if body else "GET",
        "path": "/work",
        "headers": [],
        "body": make_body(body),
        "key_hash": None,
        "idempotent": True,
        "deadline": BootClock().now() + 5.0,
    }
    merged = {**defaults, **fields}
    merged.setdefault(
        "fingerprint",
        fingerprint_of(merged["method"], merged["path"], body),
    )
    return GateRequest(**merged)


def make_target_request(
    request_id: str = "r1", **fields: Any
) -> TargetRequest:
    """Return a target request without a unit."""
    defaults = {
        "request_id": request_id,
        "method": "GET",
        "path": "/work",
        "headers": [],
        "body": make_body(b""),
        "unit": None,
        "epoch": 0,
        "timeout_s": 5.0,
    }
    return TargetRequest(**{**defaults, **fields})


def make_target_info(**fields: Any) -> TargetInfo:
    """Return a warm target's announcement."""
    defaults = {
        "service": "records",
        "url": "http://127.0.0.1:1",
        "boot_id": "boot-1",
        "slots": 4,
        "cold_slots": 4,
        "checks_grants": True,
    }
    return TargetInfo(**{**defaults, **fields})


async def make_body(*parts: bytes) -> AsyncIterator[bytes]:
    """Give the parts of a body."""
    for part in parts:
        yield part
