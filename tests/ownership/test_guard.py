from __future__ import annotations

import pytest

from burdockgap.lease.certificates import Certificates
from burdockgap.lease.messages.promise import Promise
from burdockgap.ownership.guard import Guard
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import FakeClock, FakeFolds, FixedLease, make_session
from tests.ownership.world import KEYS, SLICES

_ENDS_AT = 1001.0


class Harness:
    """A guard of local session 1, with remote sessions 2 and 3."""

    def __init__(self, margin_s=0.0):
        self.clock = FakeClock()
        self.folds = FakeFolds()
        self.folds.claim()
        self.folds.layout(SLICES)
        self.sessions = OwnSessions(
            service="records",
            folds=self.folds,
            make_lease=lambda _entry: FixedLease(_ENDS_AT),
        )
        self.certificates = Certificates(self.folds)
        self.guard = Guard(
            sessions=self.sessions,
            folds=self.folds,
            certificates=self.certificates,
            clock=self.clock,
            margin_s=margin_s,
        )
        self.own = self.sessions.open(1)
        ref = WitnessRef(incarnation=11, address="")
        self.folds.admit(
            make_session(session_id=1),
            make_session(
                session_id=2,
                peer_address="127.0.0.1:2",
                witnesses=[ref],
                successors=[3],
            ),
            make_session(session_id=3, peer_address="127.0.0.1:3"),
        )

    def refusal(self, key):
        with pytest.raises(Refusal) as caught:
            self.guard.check(key)
        with pytest.raises(Refusal), self.guard.enter(key):
            pass
        assert caught.value.verdict is Verdict.NOT_RUN
        return caught.value


@pytest.fixture
def harness():
    return Harness()


def test_enter_active_unit(harness):
    harness.own.holdings.activate(0, 2)
    with harness.guard.enter(KEYS[0]) as permit:
        assert (permit.unit, permit.epoch) == (0, 2)
        assert permit.expires_at == _ENDS_AT
        assert len(harness.own.holdings.work_in({0}, SLICES)) == 1
    assert not harness.own.holdings.work_in({0}, SLICES)


@pytest.mark.parametrize("key", [None, KEYS[0]], ids=["unkeyed", "keyed"])
def test_permit_follows_renewals(harness, key):
    harness.own.holdings.activate(0, 2)
    with harness.guard.enter(key) as permit:
        harness.own.lease.ends_at += 5
        assert permit.expires_at == _ENDS_AT + 5
        harness.folds.end(1)
        assert permit.expires_at == _ENDS_AT + 5


def test_unkeyed_permit_follows_a_newer_session(harness):
    with harness.guard.enter(None) as permit:
        newer = harness.sessions.open(4)
        harness.folds.admit(make_session(session_id=4))
        newer.lease.ends_at += 9
        harness.folds.end(1)
        assert permit.expires_at == _ENDS_AT + 9


def test_keyed_permit_ends_with_its_own_session(harness):
    harness.own.holdings.activate(0, 2)
    with harness.guard.enter(KEYS[0]) as permit:
        newer = harness.sessions.open(4)
        harness.folds.admit(make_session(session_id=4))
        newer.lease.ends_at += 9
        assert permit.expires_at == _ENDS_AT


@pytest.mark.parametrize("key", [None, KEYS[0]], ids=["unkeyed", "keyed"])
def test_enter_at_end_of_lease(harness, key):
    harness.own.holdings.activate(0, 2)
    harness.clock.time = _ENDS_AT
    assert harness.refusal(key).reason is Reason.NO_LEASE


@pytest.mark.parametrize("key", [None, KEYS[0]], ids=["unkeyed", "keyed"])
def test_margin_ends_permits_early(key):
    harness = Harness(margin_s=0.2)
    harness.own.holdings.activate(0, 2)
    with harness.guard.enter(key) as permit:
        assert permit.expires_at == pytest.approx(_ENDS_AT - 0.2)
    harness.clock.time = _ENDS_AT - 0.1
    assert harness.refusal(key).reason is Reason.NO_LEASE


def test_enter_after_end_of_session(harness):
    harness.own.holdings.activate(0, 2)
    harness.folds.end(1)
    assert harness.refusal(KEYS[0]).reason is Reason.NO_OWNER
    assert harness.refusal(None).reason is Reason.NO_LEASE


def test_refusal_names_owner_then_successor(harness):
    harness.folds.assign([0], 2)
    refusal = harness.refusal(KEYS[0])
    assert refusal.reason is Reason.NOT_OWNER
    assert refusal.owner == "127.0.0.1:2"
    harness.certificates.add(Promise(session_id=2, witness_incarnation=11))
    assert harness.refusal(KEYS[0]).owner == "127.0.0.1:3"


def test_refusal_while_activating(harness):
    harness.folds.assign([0], 1)
    assert harness.refusal(KEYS[0]).reason is Reason.ACTIVATING


def test_released_unit_refused(harness):
    harness.folds.assign([0], 1)
    harness.own.holdings.activate(0, 2)
    harness.own.holdings.release(0, 4)
    harness.refusal(KEYS[0])
    assert not harness.own.holdings.activate(0, 3)
    assert harness.own.holdings.activate(0, 4)
