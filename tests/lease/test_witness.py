from __future__ import annotations

import pytest

from burdockgap.lease.certificates import Certificates
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.records.witness_ref import WitnessRef
from tests.builders import FakeClock, FakeFolds, make_session

TIMING = LeaseTiming()
OWN = 11
ADDRESS = "127.0.0.1:9"


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def folds():
    folds = FakeFolds()
    folds.claim(peer_address="127.0.0.1:8")
    return folds


@pytest.fixture
def witness(clock, folds):
    return Witness(
        incarnation=OWN,
        address=ADDRESS,
        clock=clock,
        timing=TIMING,
        folds=folds,
    )


def _session(session_id, *named: int, **fields):
    refs = [WitnessRef(incarnation=ref, address=ADDRESS) for ref in named]
    return make_session(session_id=session_id, witnesses=refs, **fields)


def _renew(seq, witness=OWN):
    return Renew(
        session_id=1,
        witness_incarnation=witness,
        seq=seq,
        config_offset=0,
        control_offset=0,
    )


def test_renew_acknowledged(witness, folds):
    folds.admit(_session(1, OWN))
    assert witness.on_renew(_renew(1)).seq == 1


@pytest.mark.parametrize(
    "renew",
    [
        pytest.param(_renew(2), id="same-seq"),
        pytest.param(_renew(1), id="older-seq"),
        pytest.param(_renew(3, witness=12), id="other-incarnation"),
    ],
)
def test_renew_ignored(witness, folds, renew):
    folds.admit(_session(1, OWN))
    witness.on_renew(_renew(2))
    assert witness.on_renew(renew) is None


def test_renew_of_unknown_or_ended_session(witness, folds):
    assert witness.on_renew(_renew(1)) is None
    folds.admit(_session(1, OWN))
    assert witness.on_renew(_renew(1))
    folds.end(1)
    assert witness.on_renew(_renew(2)) is None


def test_renew_just_before_and_after_expiry(witness, folds, clock):
    folds.admit(_session(1, OWN))
    clock.time += TIMING.expiry_s - 0.01
    assert witness.on_renew(_renew(1))
    clock.time += TIMING.expiry_s
    assert witness.on_renew(_renew(2)) is None
    assert witness.on_renew(_renew(3)) is None


def test_promise_for_session_never_renewed(witness, folds, clock):
    folds.admit(_session(1, OWN))
    assert witness.due_promises() == []
    clock.time += TIMING.expiry_s
    promise = Promise(session_id=1, witness_incarnation=OWN)
    assert witness.due_promises() == [promise]


def test_promises_pushed_fast_then_slowly_until_end(witness, folds, clock):
    folds.admit(_session(1, OWN))
    clock.time += TIMING.expiry_s
    pushes = []
    for step in range(100):
        pushes += [step for _ in witness.due_promises()]
        clock.time += 0.1
    assert pushes[:6] == [0, 3, 6, 9, 12, 15]
    assert pushes[6] - pushes[5] == pytest.approx(20, abs=1)
    folds.end(1)
    assert witness.due_promises() == []


def test_promise_for_earlier_incarnation_after_uptime(folds, clock):
    folds.admit(_session(1, 10))
    witness = Witness(
        incarnation=OWN,
        address=ADDRESS,
        clock=clock,
        timing=TIMING,
        folds=folds,
    )
    assert witness.on_renew(_renew(1, witness=10)) is None
    clock.time += TIMING.expiry_s - 0.01
    assert witness.due_promises() == []
    clock.time += 0.02
    promise = Promise(session_id=1, witness_incarnation=10)
    assert witness.due_promises() == [promise]


def test_no_promise_for_later_incarnation(witness, folds, clock):
    folds.admit(make_session(session_id=5, incarnation=OWN))
    folds.admit(_session(1, 12))
    clock.time += 10 * TIMING.expiry_s
    assert witness.due_promises() == []


def test_receivers_are_live_successors_and_coordinator(witness, folds):
    folds.admit(
        _session(1, OWN, successors=[2, 3]),
        make_session(session_id=2, peer_address="127.0.0.1:2"),
    )
    assert witness.promise_receivers(1) == ["127.0.0.1:2", "127.0.0.1:8"]


@pytest.mark.parametrize(
    ("named", "promised", "complete"),
    [
        pytest.param([11, 12, 13], [11], False, id="minority"),
        pytest.param([11, 12, 13], [11, 11], False, id="repeated"),
        pytest.param([11, 12, 13], [11, 14], False, id="not-named"),
        pytest.param([11, 12, 13], [11, 13], True, id="majority"),
        pytest.param([11, 12], [11], False, id="one-of-two"),
        pytest.param([], [11], False, id="no-witnesses"),
    ],
)
@pytest.mark.parametrize("admitted_first", [True, False])
def test_certificate(folds, named, promised, complete, admitted_first):
    certificates = Certificates(folds)
    done = []
    certificates.listen(done.append)
    if admitted_first:
        folds.admit(_session(1, *named))
    for incarnation in promised:
        promise = Promise(session_id=1, witness_incarnation=incarnation)
        certificates.add(promise)
    if not admitted_first:
        folds.admit(_session(1, *named))
    assert certificates.is_complete(1) == complete
    assert done == [1] * complete


def test_certificate_forgotten_at_end(folds):
    certificates = Certificates(folds)
    folds.admit(_session(1, 11))
    certificates.add(Promise(session_id=1, witness_incarnation=11))
    assert certificates.promised_by(1) == [11]
    folds.end(1)
    assert not certificates.is_complete(1)
