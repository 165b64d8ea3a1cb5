from __future__ import annotations

from burdockgap.fold.folds import Folds
from burdockgap.records.admit import Admit
from burdockgap.records.ended import Ended
from burdockgap.records.set_target import SetTarget
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.router.server_list import ServerList
from burdockgap.wire import pack
from tests.builders import make_change, make_claim, make_session


def names(servers):
    return [entry.name for entry in servers.of("records")]


def test_of_follows_both_folds():
    folds = Folds()
    servers = ServerList(folds)
    assert names(servers) == []
    sessions = [make_session(session_id=number) for number in (1, 2, 3)]
    records = [
        make_claim(term=1),
        Admit(record_id=11, term=1, at=0.0, sessions=sessions),
    ]
    for record in records:
        folds.apply(CONTROL, folds.offset(CONTROL), pack(record))
    assert names(servers) == ["records-1", "records-2", "records-3"]
    assert servers.of("records") is servers.of("records")
    change = make_change(SetTarget(name="records-2", draining=True))
    folds.apply(CONFIG, 0, pack(change))
    assert names(servers) == ["records-1", "records-3"]
    ended = Ended(
        record_id=12,
        term=1,
        at=0.0,
        session_id=1,
        cause="left",
        promised_by=[],
    )
    folds.apply(CONTROL, folds.offset(CONTROL), pack(ended))
    assert names(servers) == ["records-3"]
