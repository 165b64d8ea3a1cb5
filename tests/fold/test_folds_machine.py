from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from burdockgap.fold.folds import Folds
from burdockgap.fold.restore import (
    decode_snapshot,
    restore_config,
    restore_control,
)
from burdockgap.fold.snapshot import make_chunks, snapshot_states
from burdockgap.fold.snapshot_collector import SnapshotCollector
from burdockgap.ownership.unit import pin_of
from burdockgap.records.activated import Activated
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.records.unpin import Unpin
from burdockgap.wire import pack
from tests.builders import make_change, make_claim, make_session

SERVICE = "records"
TERM_SHIFTS = st.sampled_from([0, 0, 0, -1, 1])
SESSIONS = st.integers(1, 6)
UNITS = st.one_of(
    st.integers(0, 9), st.integers(0, 1).map(lambda key: pin_of(key + 40))
)
CHANGES = st.one_of(
    st.builds(SetDataCentre, name=st.sampled_from("ab"), out=st.booleans()),
    st.integers(3, 6).map(
        lambda bits: Publish(
            document=f"[services.s{bits}]\nkeyed=true\nslices={1 << bits}"
        )
    ),
)


def units(folds):
    """Return the state of each unit, read from the unit tables."""
    return {
        (service, unit): (
            table.owner(unit),
            table.epoch(unit),
            table.earlier_holders(unit),
        )
        for service, table in folds.control.tables.items()
        for unit in table.units()
    }


def states(folds):
    return snapshot_states(folds.control, folds.config), units(folds)


def comparable_states(folds):
    """Return the states without fields that every record changes."""
    snapshot, each_unit = states(folds)
    for part in (snapshot.control, snapshot.config):
        part.offset = 0
        part.seen = b""
    return snapshot, each_unit


class FoldMachine(RuleBasedStateMachine):
    """
    Compares three folds of one log.

    ``folds`` applies every record when it is written, ``follower`` also
    restarts from snapshots, and a replay of the whole log ends the run.
    """

    def __init__(self):
        super().__init__()
        self.log = {CONFIG: [], CONTROL: []}
        self.folds = Folds()
        self.follower = Folds()
        self.last_id = 0

    @initialize()
    def start_system(self):
        self.claim(1)
        for session_id in range(1, 5):
            self.admit(0, [session_id, session_id % 4 + 1])
        self.layout(0, 8)
        self.assign(0, list(range(8)), [1, 2, 3, 4] * 2)

    def next_id(self):
        self.last_id += 1
        return self.last_id

    def write(self, stream, msg):
        self.write_bytes(stream, pack(msg))

    def write_bytes(self, stream, data):
        offset = len(self.log[stream])
        self.log[stream].append(data)
        assert self.folds.apply(stream, offset, data)
        assert self.follower.apply(stream, offset, data)

    def write_control(self, kind, shift, **fields):
        term = self.folds.control.term + shift
        before = comparable_states(self.folds)
        msg = kind(record_id=self.next_id(), term=term, **fields)
        self.write(CONTROL, msg)
        if shift:
            assert comparable_states(self.folds) == before

    @rule(shift=st.integers(0, 2))
    def claim(self, shift):
        term = self.folds.control.term
        msg = make_claim(record_id=self.next_id(), term=term + shift)
        self.write(CONTROL, msg)
        assert self.folds.control.term == term + (shift == 1)

    @rule(shift=TERM_SHIFTS, ids=st.lists(SESSIONS, min_size=1, max_size=3))
    def admit(self, shift, ids):
        entries = [
            make_session(session_id=ids[0], successors=ids[1:]),
        ]
        self.write_control(Admit, shift, at=0.5, sessions=entries)

    @rule(shift=TERM_SHIFTS, session_id=SESSIONS)
    def end(self, shift, session_id):
        self.write_control(
            Ended,
            shift,
            at=0.5,
            session_id=session_id,
            cause="expired",
            promised_by=[],
        )

    @rule(shift=TERM_SHIFTS, slices=st.sampled_from([8, 8, 4, 0, -8, 6]))
    def layout(self, shift, slices):
        self.write_control(Layout, shift, service=SERVICE, slices=slices)

    @rule(
        shift=TERM_SHIFTS,
        units=st.lists(UNITS, max_size=4),
        owners=st.lists(SESSIONS, max_size=4),
    )
    def assign(self, shift, units, owners):
        self.write_control(
            Assign,
            shift,
            at=0.5,
            service=SERVICE,
            cause="balance",
            units=units,
            owners=owners,
        )

    @rule(shift=TERM_SHIFTS, unit=UNITS, epoch=st.integers(0, 6))
    def activated(self, shift, unit, epoch):
        self.write_control(
            Activated, shift, service=SERVICE, units=[unit], epochs=[epoch]
        )

    @rule(shift=TERM_SHIFTS, unit=UNITS, kind=st.sampled_from([Pin, Unpin]))
    def pin(self, shift, unit, kind):
        self.write_control(kind, shift, at=0.5, service=SERVICE, unit=unit)

    @rule(
        changes=st.lists(CHANGES, min_size=1, max_size=4),
        stale=st.booleans(),
    )
    def race_changes(self, changes, stale):
        version = self.folds.config.version
        ids = [self.next_id() for _ in changes]
        against = version - 1 if stale else version
        for record_id, change in zip(ids, changes, strict=True):
            msg = make_change(change, record_id=record_id, against=against)
            self.write(CONFIG, msg)
        decisions = [self.folds.config.decision_of(each) for each in ids]
        accepted = [each.accepted for each in decisions]
        assert accepted == [not stale] + [False] * (len(ids) - 1)
        assert self.folds.config.version == version + (not stale)

    @rule(stream=st.sampled_from([CONFIG, CONTROL]))
    def write_garbage(self, stream):
        before = comparable_states(self.folds)
        self.write_bytes(stream, b"\xc1")
        assert comparable_states(self.folds) == before

    @rule(stream=st.sampled_from([CONFIG, CONTROL]), data=st.data())
    def write_again(self, stream, data):
        if not self.log[stream]:
            return
        before, each_unit = states(self.folds)
        again = data.draw(st.sampled_from(self.log[stream]))
        self.write_bytes(stream, again)
        after, units_after = states(self.folds)
        after.control.offset = before.control.offset
        after.config.offset = before.config.offset
        assert (after, units_after) == (before, each_unit)

    @precondition(lambda self: self.log[CONTROL])
    @rule()
    def restart_follower_from_snapshot(self):
        term = self.folds.control.term
        chunks = make_chunks(self.folds, term=term)
        collector = SnapshotCollector()
        for chunk in chunks:
            collector.add(chunk)
        snapshot = decode_snapshot(collector.newest_first()[0])
        self.follower = Folds()
        self.follower.install(
            restore_control(snapshot.control),
            restore_config(snapshot.config),
        )
        for chunk in chunks:
            self.write(CONTROL, chunk)

    @invariant()
    def follower_agrees(self):
        assert states(self.follower) == states(self.folds)

    def teardown(self):
        replay = Folds()
        for stream, records in self.log.items():
            for offset, data in enumerate(records):
                replay.apply(stream, offset, data)
        assert states(replay) == states(self.folds)


FoldMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestFolds = FoldMachine.TestCase
