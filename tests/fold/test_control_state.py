from __future__ import annotations

import sys

import pytest

from burdockgap.fold.control_state import ControlState
from burdockgap.fold.unit_table import UnitTable
from burdockgap.ownership.unit import choose_successor, hash_key, pin_of
from burdockgap.records.activated import Activated
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.unpin import Unpin
from tests.builders import make_session

SERVICE = "records"


class Feed:
    """Applies records to a control state at rising offsets."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._id = 0

    def add(self, kind, **fields):
        self._id += 1
        fields.setdefault("record_id", self._id)
        return self.state.apply(self.state.offset, kind(**fields))

    def claim(self, term):
        return self.add(
            Claim, term=term, incarnation=1, name="d", peer_address="", at=0.0
        )

    def assign(self, units, owners, term=1):
        return self.add(
            Assign,
            term=term,
            at=0.0,
            service=SERVICE,
            cause="test",
            units=units,
            owners=owners,
        )

    def end(self, session_id):
        return self.add(
            Ended,
            term=1,
            at=0.0,
            session_id=session_id,
            cause="expired",
            promised_by=[],
        )


@pytest.fixture
def feed():
    feed = Feed()
    feed.claim(1)
    entries = [
        make_session(session_id=1, successors=[2, 3]),
        make_session(session_id=2, successors=[1, 3]),
        make_session(session_id=3, successors=[1, 2]),
    ]
    feed.add(Admit, term=1, at=0.0, sessions=entries)
    feed.add(Layout, term=1, service=SERVICE, slices=8)
    return feed


def test_claim_skipping_a_term(feed):
    assert not feed.claim(3).effective
    assert feed.state.term == 1


def test_assign_of_old_term(feed):
    feed.claim(2)
    assert not feed.assign([0], [1], term=1).effective
    assert feed.state.tables[SERVICE].owner(0) == 0


def test_assign_twice_lists_earlier_holders(feed):
    table = feed.state.tables[SERVICE]
    feed.assign([0], [1])
    feed.assign([0], [3])
    assert table.owner(0) == 3
    assert table.epoch(0) == 4
    assert set(table.earlier_holders(0)) == {1, choose_successor([2, 3], 0)}


def test_activated_clears_earlier_holders(feed):
    table = feed.state.tables[SERVICE]
    feed.assign([0], [1])
    feed.assign([0], [2])
    report = {"term": 1, "service": SERVICE, "units": [0]}
    assert not feed.add(Activated, epochs=[2], **report).effective
    assert feed.add(Activated, epochs=[4], **report).effective
    assert table.earlier_holders(0) == ()


def test_ended_passes_units_to_successors(feed):
    table = feed.state.tables[SERVICE]
    feed.assign(list(range(8)), [1] * 8)
    effect = feed.end(1)
    assert effect.units == list(range(8))
    for unit in range(8):
        successor = choose_successor([2, 3], unit)
        assert table.owner(unit) == successor
        assert table.epoch(unit) == 4
        assert successor in table.earlier_holders(unit)


def test_ended_without_live_successors(feed):
    feed.assign([0], [1])
    feed.end(2)
    feed.end(3)
    feed.end(1)
    assert feed.state.tables[SERVICE].owner(0) == 0


def test_record_applied_once(feed):
    feed.assign([0], [1])
    again = feed.add(
        Assign,
        record_id=feed._id,
        term=1,
        at=0.0,
        service=SERVICE,
        cause="test",
        units=[0],
        owners=[2],
    )
    assert not again.effective
    assert feed.state.tables[SERVICE].epoch(0) == 2


def test_pin_inherits_and_unpin_returns(feed):
    table = feed.state.tables[SERVICE]
    key_hash = hash_key("pump-1")
    parent = table.unit_of(key_hash)
    feed.assign([parent], [1])
    pin = pin_of(key_hash)
    feed.add(Pin, term=1, at=0.0, service=SERVICE, unit=pin)
    assert table.unit_of(key_hash) == pin
    assert (table.owner(pin), table.epoch(pin)) == (1, 2)
    assert feed.state.successor(SERVICE, pin) == feed.state.successor(
        SERVICE, parent
    )
    feed.assign([pin], [2])
    fields = {"term": 1, "at": 0.0, "service": SERVICE, "unit": pin}
    assert not feed.add(Unpin, **fields).effective
    feed.assign([pin], [1])
    fields = {"term": 1, "service": SERVICE, "units": [pin]}
    feed.add(Activated, epochs=[6], **fields)
    assert feed.add(Unpin, term=1, at=0.0, service=SERVICE, unit=pin).effective
    assert table.unit_of(key_hash) == parent
    assert table.epoch(parent) == 6
    feed.add(Pin, term=1, at=0.0, service=SERVICE, unit=pin)
    assert table.epoch(pin) == 6


def test_units_of_ignores_matches_across_items():
    table = UnitTable(4)
    split = int.from_bytes(bytes([1, 1, 1, 1, 2, 2, 2, 2]), sys.byteorder)
    across = int.from_bytes(bytes([2, 2, 2, 2, 1, 1, 1, 1]), sys.byteorder)
    for unit, owner in enumerate((split, split, across, split)):
        table.assign(unit, owner, 0)
    assert table.units_of(split) == [0, 1, 3]
    assert table.units_of(across) == [2]
    assert table.counts() == {split: 3, across: 1}


def test_units_of_finds_runs_and_pins():
    table = UnitTable(8)
    for unit in (2, 3, 4, 7):
        table.assign(unit, 9, 0)
    pin = pin_of(3)
    table.add_pin(pin)
    assert table.units_of(9) == [2, 3, 4, 7, pin]
    assert table.units_of(0) == [0, 1, 5, 6]
    assert table.counts() == {0: 4, 9: 5}
    assert table.by_owner() == {
        session: table.units_of(session) for session in (0, 9)
    }
