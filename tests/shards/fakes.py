"""Stand-ins for the neighbours of the holder of keys."""

from __future__ import annotations

from burdockgap.fleet.roster import Roster
from burdockgap.metadata.keyed_store import TopicSnapshot
from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.shards.control_state import ControlState
from tests.shards.builders import make_member


class FakeStore:
    """One conditional value, with faults."""

    def __init__(self):
        self.value = None
        self.end = 0
        self.fails = False
        self.loses_replies = False

    async def newest(self, _topic):
        if self.fails:
            raise StoreError("turned away")
        values = {} if self.value is None else {"state": self.value}
        return TopicSnapshot(values, self.end)

    async def put(self, _topic, _key, value, *, at=None):
        if self.fails:
            raise StoreError("turned away")
        if at is not None and at != self.end:
            raise WriteConflict("written by another")
        self.value, self.end = value, self.end + 1
        if self.loses_replies:
            raise StoreError("no answer")
        return self.end

    @property
    def state(self):
        return ControlState.decode(self.value)


class FakeDatagrams:
    """Keeps what was sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def send(self, address, kind, *values: object):
        self.sent.append((address, kind, values))


def make_roster(own, others):
    """Return a roster that has heard of some members."""
    roster = Roster(make_member(own), lambda _event, _fields: None)
    for name in others:
        roster.record_announcement(make_member(name))
    return roster
