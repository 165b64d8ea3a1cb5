from __future__ import annotations

import pytest

from burdockgap.fold.audit_trail import MAX_ENTRIES
from burdockgap.fold.config_state import ConfigState
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from tests.builders import make_change

KEYED = "[services.records]\nkeyed = true\nslices = 8\n"


@pytest.fixture
def state():
    return ConfigState()


def apply(state, change, **fields):
    fields.setdefault("against", state.version)
    return state.apply(state.offset, make_change(change, **fields))


def test_apply_each_kind(state):
    assert apply(state, Publish(document=KEYED)).accepted
    assert apply(state, SetDataCentre(name="dc1", out=True)).accepted
    assert apply(state, SetTarget(name="records-1", draining=True)).accepted
    assert apply(state, EndSession(session_id=7)).version == 4
    assert state.document.services["records"].slices == 8
    assert state.data_centres_out == {"dc1"}
    assert state.draining == {"records-1"}
    assert 7 in state.ended_sessions
    apply(state, SetDataCentre(name="dc1", out=False))
    apply(state, SetTarget(name="records-1", draining=False))
    assert not state.data_centres_out | state.draining


@pytest.mark.parametrize(
    ("document", "words"),
    [
        pytest.param("a = ", "TOML", id="unparsable"),
        pytest.param("[services.a]\nb = 1", "services.a.b", id="invalid"),
        pytest.param(
            KEYED.replace("8", "16"), "services.records.slices", id="slices"
        ),
    ],
)
def test_apply_rejected_document(state, document, words):
    apply(state, Publish(document=KEYED))
    decision = apply(state, Publish(document=document))
    assert not decision.accepted
    assert words in decision.reason
    assert (state.version, state.text) == (1, KEYED)


def test_apply_stale_version(state):
    apply(state, SetDataCentre(name="dc1", out=True))
    change = make_change(SetDataCentre(name="dc2", out=True), against=0)
    assert not state.apply(1, change).accepted
    assert state.data_centres_out == {"dc1"}
    assert not state.decision_of(change.record_id).accepted
    entry = state.audit.entries()[-1]
    assert (entry.accepted, entry.against, entry.offset) == (False, 0, 1)
    assert entry.author == "operator"
    assert "dc2" in entry.what


def test_apply_same_id_again(state):
    change = make_change(SetDataCentre(name="dc1", out=True))
    first = state.apply(0, change)
    assert state.apply(1, change) == first
    assert state.version == 1
    assert len(state.audit.entries()) == 1


def test_audit_is_bounded(state):
    for _ in range(MAX_ENTRIES + 5):
        apply(state, EndSession(session_id=7))
    entries = state.audit.entries()
    assert len(entries) == MAX_ENTRIES
    assert entries[0].offset == 5
