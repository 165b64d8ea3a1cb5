from __future__ import annotations

import anyio
import pytest

from burdockgap.fold.folds import Folds
from burdockgap.records.admit import Admit
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire import pack
from tests.builders import make_change, make_claim, make_session

OUT = pack(make_change(SetDataCentre(name="dc1", out=True)))


@pytest.fixture
def folds():
    return Folds()


def test_apply_undecodable(folds):
    assert folds.apply(CONTROL, 0, b"\xc1")
    assert folds.apply(CONFIG, 0, b"\xc1")
    assert folds.undecodable == 2
    assert folds.apply(CONTROL, 1, pack(make_claim()))
    assert folds.control.term == 1


@pytest.mark.parametrize("offset", [0, 2], ids=["behind", "ahead"])
def test_apply_out_of_order(folds, offset):
    folds.apply(CONFIG, 0, OUT)
    version = folds.version
    assert not folds.apply(CONFIG, offset, OUT)
    assert (folds.offset(CONFIG), folds.version) == (1, version)


def test_listen_only_effects(folds):
    effects = []
    decisions = []
    folds.listen(effects.append)
    folds.listen_config(decisions.append)
    admit = Admit(record_id=5, term=1, at=2.0, sessions=[make_session()])
    for offset, msg in enumerate(
        [make_claim(), admit, admit, make_claim(term=7)]
    ):
        folds.apply(CONTROL, offset, pack(msg))
    folds.apply(CONFIG, 0, OUT)
    folds.apply(CONFIG, 1, OUT)
    assert [effect.sessions for effect in effects] == [[], [1]]
    assert [decision.accepted for decision in decisions] == [True]
    assert [entry.what.split()[0] for entry in folds.audit] == [
        "data",
        "coordinator",
        "admit",
    ]


def test_recent_is_bounded(folds):
    for offset in range(2010):
        folds.apply(CONTROL, offset, b"%d" % offset)
    assert folds.recent(CONTROL, 9, 5) is None
    assert folds.recent(CONTROL, 2008, 5) == [b"2008", b"2009"]
    assert folds.recent(CONTROL, 2010, 5) == []
    for offset in range(2010, 2020):
        folds.apply(CONTROL, offset, bytes(1024 * 1024))
    assert folds.recent(CONTROL, 2015, 5) is None
    assert len(folds.recent(CONTROL, 2016, 9)) == 4


def test_wait_offset_and_version(folds):
    async def scenario():
        assert not await folds.wait_offset(CONFIG, 1, 0.01)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep, 0)
            tasks.start_soon(apply_soon)
            with anyio.fail_after(2):
                assert await folds.wait_beyond(0) == 1
                assert await folds.wait_offset(CONFIG, 1, 1)

    async def apply_soon():
        await anyio.sleep(0.01)
        folds.apply(CONFIG, 0, OUT)

    anyio.run(scenario)
