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


class Site:
    """A log and the folds of a daemon that has read all of it."""

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
        self.set_out("dc1")
        self.set_out("dc2")

    def write(self, stream, msg):
        data = pack(msg)
        self.folds.apply(stream, self.log.store.append(stream, data), data)

    def set_out(self, name):
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

    def fill(self):
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

    def agrees(self, folds):
        mine = snapshot_states(self.folds.control, self.folds.config)
        return snapshot_states(folds.control, folds.config) == mine


@pytest.fixture
def site():
    return Site()


def test_load_from_start(site):
    site.snapshot()
    folds = site.start()
    assert folds.installs == 0
    assert site.agrees(folds)


@pytest.mark.parametrize("trimmed", [[CONTROL], [CONFIG], [CONFIG, CONTROL]])
def test_load_snapshot_and_rest(site, trimmed):
    chunks = site.snapshot()
    offsets = {
        CONTROL: chunks[0].upto,
        CONFIG: site.folds.offset(CONFIG),
    }
    site.admit(1)
    site.set_out("dc3")
    for stream in trimmed:
        site.trim(stream, offsets[stream])
    folds = site.start()
    assert folds.installs == 1
    assert site.agrees(folds)


def test_load_passes_over_partial_snapshot(site):
    site.fill()
    whole = site.snapshot()
    assert len(whole) > 1
    site.admit(1)
    for skip in range(len(whole)):
        site.snapshot(skip=skip)
    site.trim(CONTROL, whole[0].upto)
    folds = site.start()
    assert folds.installs == 1
    assert site.agrees(folds)


def test_load_passes_over_unreadable_snapshot(site):
    whole = site.snapshot()
    site.write(
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
    site.trim(CONTROL, whole[0].upto)
    assert site.agrees(site.start())


@pytest.mark.parametrize(
    ("stream", "past"),
    [
        pytest.param(CONTROL, 1, id="chunk-trimmed"),
        pytest.param(CONFIG, 1, id="config-past-snapshot"),
    ],
)
def test_load_without_readable_snapshot(site, stream, past):
    chunks = site.snapshot()
    offset = {CONTROL: chunks[0].upto, CONFIG: site.folds.offset(CONFIG)}
    site.set_out("dc3")
    site.set_out("dc4")
    site.trim(stream, offset[stream] + past)
    with pytest.raises(LogTrimmed):
        site.start()


def test_load_without_records_before_chunks(site):
    chunks = make_chunks(site.folds, term=1)
    site.admit(1)
    site.admit(2)
    for chunk in chunks:
        site.write(CONTROL, chunk)
    site.trim(CONTROL, chunks[0].upto + 1)
    with pytest.raises(LogTrimmed):
        site.start()


def test_load_prefers_newest_snapshot(site):
    site.snapshot()
    site.admit(1)
    site.set_out("dc3")
    newest = site.snapshot()
    site.trim(CONTROL, 1)
    folds = Folds()
    anyio.run(SnapshotLoader(site.log, folds).load)
    assert folds.offset(CONTROL) == newest[0].upto
    assert folds.offset(CONFIG) == 3


def test_load_keeps_state_ahead_of_snapshot(site):
    site.snapshot()
    behind = Folds()
    for offset in range(2):
        behind.apply(CONTROL, offset, site.folds.recent(CONTROL, 0, 9)[offset])
    site.set_out("dc3")
    records = site.folds.recent(CONFIG, 0, 9)
    for offset, data in enumerate(records):
        behind.apply(CONFIG, offset, data)
    site.trim(CONTROL, 4)
    anyio.run(SnapshotLoader(site.log, behind).load)
    assert behind.config.data_centres_out == {"dc1", "dc2", "dc3"}
    assert behind.offset(CONTROL) == 4


def test_make_chunks_size(site):
    site.fill()
    chunks = make_chunks(site.folds, term=1)
    assert len(chunks) > 1
    assert max(len(pack(chunk)) for chunk in chunks) <= 64 * 1024
