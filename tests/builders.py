"""Builders of test data, and fakes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from burdockgap.clock import BootClock
from burdockgap.fold.control_state import ControlState
from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.gate.gate_request import GateRequest
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.session_entry import SessionEntry
from burdockgap.records.streams import CONTROL
from burdockgap.settings.reader import Reader
from burdockgap.target import TargetInfo, TargetRequest
from burdockgap.wire.ids import new_id

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.settings.settings import Settings


def make_session(**fields: Any) -> SessionEntry:
    """Return a session entry; ``fields`` override its defaults."""
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
    """Return a configuration change, by default with a new id."""
    defaults = {
        "record_id": new_id(),
        "at": 1.0,
        "author": "operator",
        "against": 0,
        "change": change,
    }
    return ConfigChange(**{**defaults, **fields})


def make_claim(**fields: Any) -> Claim:
    """Return a claim, by default of the first term."""
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


class FakeClock:
    """A clock whose time is set by the test."""

    def __init__(self, now: float = 1000.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time


class FakeFolds:
    """A fold of the control stream, fed with records by the test."""

    def __init__(self) -> None:
        self.control = ControlState()
        self.callbacks: list[Any] = []
        self.changed = anyio.Event()
        self.last: Any = None
        self._last_id = 0

    def listen(self, callback: Any) -> None:
        self.callbacks.append(callback)

    def offset(self, stream: str) -> int:
        return self.control.offset if stream == CONTROL else 0

    async def wait_offset(
        self, stream: str, offset: int, timeout_s: float
    ) -> bool:
        with anyio.move_on_after(timeout_s):
            while self.offset(stream) < offset:
                await self.changed.wait()
        return self.offset(stream) >= offset

    def fold(self, record: Any) -> ControlEffect:
        self.last = record
        touched = self.control.apply(self.control.offset, record)
        for callback in self.callbacks:
            callback(touched)
        self.changed.set()
        self.changed = anyio.Event()
        return touched

    def add(self, kind: Any, **fields: Any) -> ControlEffect:
        """Fold a new record; ``fields`` override its defaults."""
        self._last_id += 1
        common = {"record_id": self._last_id, "term": self.control.term}
        common |= {"at": 0.0, "service": "records", "cause": "test"}
        common |= {"promised_by": []}
        accepted = {
            name: value
            for name, value in common.items()
            if name in kind.__slots__
        }
        return self.fold(kind(**{**accepted, **fields}))

    def claim(self, term: int = 1, peer_address: str = "") -> ControlEffect:
        return self.add(
            Claim,
            term=term,
            incarnation=1,
            name="d",
            peer_address=peer_address,
        )

    def admit(self, *entries: SessionEntry) -> ControlEffect:
        return self.add(Admit, sessions=list(entries))

    def layout(self, slices: int = 4) -> ControlEffect:
        return self.add(Layout, slices=slices)

    def assign(self, units: list[int], owner: int) -> ControlEffect:
        return self.add(Assign, units=units, owners=[owner] * len(units))

    def end(self, session_id: int) -> ControlEffect:
        return self.add(Ended, session_id=session_id)


def make_gate_request(request_id: str = "r1", **fields: Any) -> GateRequest:
    """Return a gate request, by default idempotent and unkeyed."""
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
    """Return a target request, by default without a unit."""
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
    """Return a target's announcement, by default of a warm one."""
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
    """Yield the parts of a body."""
    for part in parts:
        yield part


class FakeTarget:
    """A target that records its grants, or fails if ``refusing``."""

    def __init__(self) -> None:
        self.grants: list[Any] = []
        self.refusing = False

    async def grant(self, grant: Any) -> bool:
        if self.refusing:
            raise ConnectionError("refused")
        self.grants.append(grant)
        return True


class FixedLease:
    """A lease whose expiry is set by the test."""

    def __init__(self, ends_at: float) -> None:
        self.ends_at = ends_at

    def expires_at(self) -> float:
        return self.ends_at

    def is_held(self, now: float) -> bool:
        return now < self.ends_at
