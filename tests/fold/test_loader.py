from __future__ import annotations

import anyio
import pytest

from burdockgap.fold.folds import Folds
from burdockgap.fold.loader import SnapshotLoader
from burdockgap.fold.snapshot import make_chunks, snapshot_states
from burdockgap.logstore import LogTrimmed
from burdockgap.records.admit import Admit
from burdockgap.records.end_session import EndSession
from burdockgap.records.layout import Layout
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.snapshot_chunk import SnapshotChunk
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire import pack
from burdockgap.wire.ids import new_id
from standins.memory_log import MemoryLog
from tests.builders import make_change, make_claim, make_session

SLICES = 16384


class LogHarness:
    """A log and the folds of a daemon that has applied all of it."""

    def __init__(self):
        self.log = MemoryLog()
        self.folds = Folds()
        self.write(CONTROL, make_claim(record_id=1))
        for number in range(3):
            self.write(
                CONTROL,
                Layout(
                    record_id=10 + number,
                    term=1,
                    service=f"s{number}",
                    slices=SLICES,
                ),
            )
        self.take_out_of_service("dc1")
        self.take_out_of_service("dc2")

    def write(self, stream, msg):
        data = pack(msg)
        self.folds.apply(stream, self.log.store.append(stream, data), data)

    def take_out_of_service(self, name):
        change = SetDataCentre(name=name, out=True)
        version = self.folds.config.version
        self.write(CONFIG, make_change(change, against=version))

    def admit(self, session_id):
        entry = make_session(session_id=session_id)
        record_id = 100 + session_id
        self.write(
            CONTROL,
            Admit(record_id=record_id, term=1, at=1.0, sessions=[entry]),
        )

    def add_incompressible_changes(self):
        # Random ids do not compress: the snapshot needs more chunks.
        for _ in range(4000):
            change = EndSession(session_id=new_id())
            version = self.folds.config.version
            self.write(CONFIG, make_change(change, against=version))

    def snapshot(self, skip=None):
        chunks = make_chunks(self.folds, term=1)
        for chunk in chunks:
            if chunk.index != skip:
                self.write(CONTROL, chunk)
        return chunks

    def trim(self, stream, before):
        self.log.store.trim(stream, before)

    def start(self):
        """Return the folds of a daemon that starts now."""
        folds = Folds()

        async def run():
            await SnapshotLoader(self.log, folds).load()
            for stream in (CONFIG, CONTROL):
                page = await self.log.read(
                    stream, folds.offset(stream), wait=0, limit=99999
                )
                for index, data in enumerate(page.records):
                    folds.apply(stream, page.first + index, data)

        anyio.run(run)
        return folds

    def has_same_state(self, folds):
        expected = snapshot_states(self.folds.control, self.folds.config)
        return snapshot_states(folds.control, folds.config) == expected


@pytest.fixture
def harness():
    return LogHarness()


def test_load_from_start(harness):
    harness.snapshot()
    folds = harness.start()
    assert folds.installs == 0
    assert harness.has_same_state(folds)


@pytest.mark.parametrize("trimmed", [[CONTROL], [CONFIG], [CONFIG, CONTROL]])
def test_load_snapshot_and_later_records(harness, trimmed):
    chunks = harness.snapshot()
    offsets = {
        CONTROL: chunks[0].upto,
        CONFIG: harness.folds.offset(CONFIG),
    }
    harness.admit(1)
    harness.take_out_of_service("dc3")
    for stream in trimmed:
        harness.trim(stream, offsets[stream])
    folds = harness.start()
    assert folds.installs == 1
    assert harness.has_same_state(folds)


def test_load_skips_partial_snapshot(harness):
    harness.add_incompressible_changes()
    chunks = harness.snapshot()
    assert len(chunks) > 1
    harness.admit(1)
    for skip in range(len(chunks)):
        harness.snapshot(skip=skip)
    harness.trim(CONTROL, chunks[0].upto)
    folds = harness.start()
    assert folds.installs == 1
    assert harness.has_same_state(folds)


def test_load_skips_unreadable_snapshot(harness):
    chunks = harness.snapshot()
    harness.write(
        CONTROL,
        SnapshotChunk(
            record_id=new_id(),
            term=1,
            snapshot_id=7,
            upto=5,
            index=0,
            count=1,
            data=b"not a snapshot",
        ),
    )
    harness.trim(CONTROL, chunks[0].upto)
    assert harness.has_same_state(harness.start())


@pytest.mark.parametrize(
    ("stream", "past"),
    [
        pytest.param(CONTROL, 1, id="chunk-trimmed"),
        pytest.param(CONFIG, 1, id="config-past-snapshot"),
    ],
)
def test_load_without_readable_snapshot(harness, stream, past):
    chunks = harness.snapshot()
    offset = {CONTROL: chunks[0].upto, CONFIG: harness.folds.offset(CONFIG)}
    harness.take_out_of_service("dc3")
    harness.take_out_of_service("dc4")
    harness.trim(stream, offset[stream] + past)
    with pytest.raises(LogTrimmed):
        harness.start()


def test_load_without_records_before_chunks(harness):
    chunks = make_chunks(harness.folds, term=1)
    harness.admit(1)
    harness.admit(2)
    for chunk in chunks:
        harness.write(CONTROL, chunk)
    harness.trim(CONTROL, chunks[0].upto + 1)
    with pytest.raises(LogTrimmed):
        harness.start()


def test_load_prefers_newest_snapshot(harness):
    harness.snapshot()
    harness.admit(1)
    harness.take_out_of_service("dc3")
    newest = harness.snapshot()
    harness.trim(CONTROL, 1)
    folds = Folds()
    anyio.run(SnapshotLoader(harness.log, folds).load)
    assert folds.offset(CONTROL) == newest[0].upto
    assert folds.offset(CONFIG) == 3


def test_load_keeps_state_ahead_of_snapshot(harness):
    harness.snapshot()
    behind = Folds()
    for offset in range(2):
        behind.apply(
            CONTROL, offset, harness.folds.recent(CONTROL, 0, 9)[offset]
        )
    harness.take_out_of_service("dc3")
    records = harness.folds.recent(CONFIG, 0, 9)
    for offset, data in enumerate(records):
        behind.apply(CONFIG, offset, data)
    harness.trim(CONTROL, 4)
    anyio.run(SnapshotLoader(harness.log, behind).load)
    assert behind.config.data_centres_out == {"dc1", "dc2", "dc3"}
    assert behind.offset(CONTROL) == 4


def test_make_chunks_size(harness):
    harness.add_incompressible_changes()
    chunks = make_chunks(harness.folds, term=1)
    assert len(chunks) > 1
    assert max(len(pack(chunk)) for chunk in chunks) <= 64 * 1024
