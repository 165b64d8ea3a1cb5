"""Fakes of the store and of the datagrams, and a roster builder."""

from __future__ import annotations

from burdockgap.fleet.roster import Roster
from burdockgap.metadata.keyed_store import TopicSnapshot
from burdockgap.metadata.store_error import StoreError, WriteConflict
from burdockgap.metadata.store_generation import StoreGeneration
from burdockgap.shards.control_state import ControlState
from tests.shards.builders import make_member


class FakeStore:
    """A store of one conditionally written value, with faults."""

    def __init__(self):
        self.value = None
        self.end = 0
        self.fails = False
        self.drops_replies = False
        self.generation = StoreGeneration()
        self.generation.note(1)

    def copy(self):
        return self.value, self.end

    def restore(self, copy):
        """Return to a copy; the generation is noted as by any call."""
        self.value, self.end = copy
        self.generation.note(self.generation.number + 1)

    async def newest(self, _topic):
        if self.fails:
            raise StoreError("the store refused the request")
        values = {} if self.value is None else {"state": self.value}
        return TopicSnapshot(values, self.end, self.generation.number)

    async def put(self, _topic, _key, value, *, at=None):
        if self.fails:
            raise StoreError("the store refused the request")
        if at is not None and at != self.end:
            raise WriteConflict("the topic ends at another offset")
        self.value, self.end = value, self.end + 1
        if self.drops_replies:
            raise StoreError("no answer")
        return self.end

    @property
    def state(self):
        return ControlState.decode(self.value)


class FakeDatagrams:
    """Records sent messages."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def send(self, address, kind, *values: object):
        self.sent.append((address, kind, values))


def make_roster(own, others):
    """Return a roster that has heard from the other members."""
    roster = Roster(make_member(own), lambda _event, _fields: None)
    for name in others:
        roster.record_announcement(make_member(name))
    return roster
