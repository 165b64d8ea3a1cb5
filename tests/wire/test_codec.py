from __future__ import annotations

import pytest

from burdockgap.records.admit import Admit
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.publish import Publish
from burdockgap.records.session_entry import SessionEntry
from burdockgap.records.set_target import SetTarget
from burdockgap.records.streams import CONTROL_KINDS
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.wire import DecodeError, Message, pack, unpack


def _entry() -> SessionEntry:
    return SessionEntry(
        session_id=7,
        incarnation=8,
        name="records-1",
        service="records",
        data_centre="dc1",
        region="r1",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        slots=6,
        witnesses=[WitnessRef(incarnation=9, address="127.0.0.1:3")],
        successors=[10],
    )


def test_unpack_nested():
    msg = Admit(record_id=1, term=2, at=3.5, sessions=[_entry()])
    assert unpack(pack(msg), CONTROL_KINDS) == msg


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(Publish(document="a = 1"), id="publish"),
        pytest.param(SetTarget(name="t", draining=True), id="set-target"),
    ],
)
def test_unpack_union(change: Message):
    msg = ConfigChange(
        record_id=1, at=0.0, author="op", against=3, change=change
    )
    assert unpack(pack(msg), ConfigChange) == msg


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1", id="not-msgpack"),
        pytest.param(b"\x91\x63", id="unknown-tag"),
        pytest.param(b"\x92\x0a\xa1x", id="wrong-field-type"),
        pytest.param(b"\x92\x0a\x01", id="missing-fields"),
        pytest.param(b"\x05", id="not-an-array"),
    ],
)
def test_unpack_garbage(data: bytes):
    with pytest.raises(DecodeError):
        unpack(data, CONTROL_KINDS)
