"""Builders of calls and of a gate with its collaborators."""

from __future__ import annotations

from burdockgap.clock import BootClock
from burdockgap.downlink import Downlink
from burdockgap.forward.call import Call
from burdockgap.forward.crash_watch import CrashWatch
from burdockgap.forward.departures import Departures
from burdockgap.forward.suspect_book import SuspectBook
from burdockgap.forward.target_gate import TargetGate
from burdockgap.forward.target_state import TargetState
from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.resources.memory_budget import MemoryBudget
from burdockgap.uplink import Uplink

SERVICE = "dispatch"


def make_call(**fields):
    """Return a call with defaults for omitted fields."""
    defaults = {
        "request_id": "r1",
        "method": "POST",
        "target": "/book/1",
        "headers": [("host", "a.example"), ("attempt-id", "r1")],
        "body": b"x",
        "service": SERVICE,
        "origin": "records",
        "key": None,
        "idempotent": False,
        "large": False,
        "priority": 1,
        "deadline_s": 1.0,
        "patience_s": 0.15,
        "route": "book",
        "objective_s": 0.3,
    }
    call = Call(**{**defaults, **fields})
    if "request_id" in fields and "headers" not in fields:
        call.headers = [("host", "a"), ("attempt-id", fields["request_id"])]
    return call


class GateHarness:
    """A gate and its target's state; records events and suspects."""

    def __init__(self, *, drain_s=0.2, cold_rate=20.0, clock=None, name="m1"):
        self.events = []
        self.out_since = None
        self.cold_rate = cold_rate
        self.state = TargetState(
            drain_s=drain_s,
            cold_rate=lambda: self.cold_rate,
            departures=Departures(),
            on_change=lambda: self.gate.target_changed(),
            on_event=self._note,
        )
        clock = clock or BootClock()
        self.suspects = SuspectBook(clock)
        self.announced = []
        self.crashes = CrashWatch(
            name=name,
            service=SERVICE,
            clock=clock,
            suspects=self.suspects,
            on_crash=lambda: self.announced.append(
                self.suspects.export(SERVICE)
            ),
            on_event=self._note,
        )
        self.uplink = Uplink(125e6)
        self.gate = TargetGate(
            service=SERVICE,
            state=self.state,
            protocol=PlatformTargetProtocol(),
            out_since=lambda: self.out_since,
            uplink=self.uplink,
            downlink=Downlink(125e6),
            crashes=self.crashes,
            buffers=MemoryBudget(50_000_000),
            on_event=self._note,
            on_outcome=lambda _outcome, _seconds: None,
        )

    def _note(self, event, fields):
        self.events.append((event, fields))
