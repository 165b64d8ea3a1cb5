from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from burdockgap.coordinator.candidacy import Candidacy
from burdockgap.fold.folds import Folds
from burdockgap.lease.certificates import Certificates
from burdockgap.lease.messages.promise import Promise
from burdockgap.records.admit import Admit
from burdockgap.records.claim import Claim
from burdockgap.records.ended import Ended
from burdockgap.records.streams import CONTROL
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.wire import pack
from burdockgap.wire.ids import new_id
from tests.builders import make_session

COORDINATOR = 101
OWN = 102
TERM = 1


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self):
        return self.time

    def wall(self):
        return self.time


class CandidateDaemon:
    """A daemon's candidacy with real folds and a fake writer."""

    def __init__(self) -> None:
        self.folds = Folds()
        self.clock = Clock()
        self.claims = []
        self.expire = None
        self.candidacy = Candidacy(
            incarnation=OWN,
            name="own",
            peer_address="",
            folds=self.folds,
            certificates=(certificates := Certificates(self.folds)),
            witness=SimpleNamespace(listen=self._listen),
            writer=SimpleNamespace(append_once=self._append),
            clock=self.clock,
            confirm=self._confirm,
        )
        self.confirmed = True
        self.certificates = certificates

    async def _confirm(self):
        return self.confirmed

    def _listen(self, callback):
        self.expire = callback

    async def _append(self, _stream, record, _timeout_s):
        self.claims.append(record)

    def fold(self, kind, **fields):
        record = kind(record_id=new_id(), at=0.0, **fields)
        self.folds.apply(CONTROL, self.folds.offset(CONTROL), pack(record))

    def claim(self, term, incarnation):
        self.fold(
            Claim,
            term=term,
            incarnation=incarnation,
            name="c",
            peer_address="",
        )

    def run(self, seconds=0.5):
        async def run():
            with anyio.move_on_after(seconds):
                await self.candidacy.run()

        anyio.run(run)


@pytest.fixture
def daemon(monkeypatch):
    monkeypatch.setattr(
        "burdockgap.coordinator.candidacy._END_RECORD_TIMEOUT_S", 0.1
    )
    daemon = CandidateDaemon()
    daemon.claim(TERM, COORDINATOR)
    witnesses = [
        WitnessRef(incarnation=incarnation, address="")
        for incarnation in (201, 202, 203)
    ]
    sessions = [
        make_session(
            session_id=1,
            incarnation=COORDINATOR,
            witnesses=witnesses,
            successors=[2],
        ),
        make_session(session_id=2, incarnation=OWN, witnesses=witnesses),
        make_session(session_id=3, incarnation=103, witnesses=witnesses),
    ]
    daemon.fold(Admit, term=TERM, sessions=sessions)
    return daemon


def promise(daemon, session_id):
    for incarnation in (201, 202):
        daemon.certificates.add(
            Promise(session_id=session_id, witness_incarnation=incarnation)
        )


def test_no_claim_without_cause(daemon):
    daemon.run()
    assert daemon.claims == []


def test_claim_on_certificate_of_coordinator(daemon):
    promise(daemon, 1)
    daemon.run()
    assert [claim.term for claim in daemon.claims] == [TERM + 1]


def test_no_claim_on_certificate_of_other_session(daemon):
    promise(daemon, 3)
    daemon.run()
    assert daemon.claims == []


def test_claim_when_an_end_is_not_recorded(daemon):
    daemon.expire(3)
    daemon.clock.time += 1.0
    daemon.run()
    assert daemon.claims


def test_no_claim_when_the_end_is_recorded(daemon):
    daemon.expire(3)
    daemon.fold(
        Ended, term=TERM, session_id=3, cause="expired", promised_by=[]
    )
    daemon.clock.time += 1.0
    daemon.run()
    assert daemon.claims == []


def test_claim_when_the_coordinator_left(daemon):
    daemon.fold(Ended, term=TERM, session_id=1, cause="left", promised_by=[])
    daemon.run()
    assert daemon.claims


def test_no_claim_against_coordinator_without_session(daemon):
    daemon.claim(TERM + 1, 999)
    daemon.run()
    assert daemon.claims == []


def test_no_claim_without_confirmation(daemon):
    daemon.confirmed = False
    daemon.candidacy.coordinator_silent()
    daemon.expire(3)
    daemon.clock.time += 10.0
    daemon.run()
    assert daemon.claims == []


def test_claim_with_proof_needs_no_confirmation(daemon):
    daemon.confirmed = False
    promise(daemon, 1)
    daemon.run()
    assert daemon.claims
