"""Tests that all roles resync when a snapshot replaces the fold."""

from __future__ import annotations

import pytest

from burdockgap.fold.config_state import ConfigState
from burdockgap.fold.folds import Folds
from burdockgap.lease.certificates import Certificates
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.ownership.activator import Activator
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.records.witness_ref import WitnessRef
from tests.builders import FakeClock, FakeFolds, FixedLease, make_session

OWN = 11
PROMISE = Promise(session_id=1, witness_incarnation=OWN)


@pytest.fixture
def folds():
    return Folds()


@pytest.fixture
def snapshot():
    """Return a control state with one session that owns all slices."""
    source = FakeFolds()
    source.claim()
    witness = WitnessRef(incarnation=OWN, address="127.0.0.1:9")
    source.admit(make_session(session_id=1, witnesses=[witness]))
    source.layout()
    source.assign([0, 1, 2, 3], owner=1)
    return source


def _install(folds, snapshot):
    folds.install(snapshot.control, ConfigState())


def test_witness_acknowledges_sessions_of_a_snapshot(folds, snapshot):
    witness = Witness(
        incarnation=OWN,
        address="127.0.0.1:9",
        clock=FakeClock(),
        timing=LeaseTiming(),
        folds=folds,
    )
    _install(folds, snapshot)
    renew = Renew(
        session_id=1,
        witness_incarnation=OWN,
        seq=1,
        config_offset=0,
        control_offset=0,
    )
    assert witness.on_renew(renew) is not None


def test_certificates_count_promises_that_came_before(folds, snapshot):
    certificates = Certificates(folds)
    certificates.add(PROMISE)
    _install(folds, snapshot)
    assert certificates.is_complete(1)


def test_own_session_is_admitted_and_activates(folds, snapshot):
    sessions = OwnSessions(
        service="records",
        folds=folds,
        make_lease=lambda _entry: FixedLease(2000.0),
    )
    activator = Activator(
        sessions=sessions,
        folds=folds,
        certificates=Certificates(folds),
        on_active=lambda _session: None,
        on_release_needed=lambda _holder: None,
    )
    session = sessions.open(1)
    _install(folds, snapshot)
    assert session.admitted.is_set()
    assert sorted(session.holdings.active) == [0, 1, 2, 3]
    assert activator.unreported == {}


def test_own_session_ends_if_a_snapshot_lacks_it(folds, snapshot):
    sessions = OwnSessions(
        service="records",
        folds=folds,
        make_lease=lambda _entry: FixedLease(2000.0),
    )
    session = sessions.open(1)
    _install(folds, snapshot)
    later = FakeFolds()
    later.control.offset = 100
    _install(folds, later)
    assert session.ended.is_set()
