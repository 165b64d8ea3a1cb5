from __future__ import annotations

import math

import pytest

from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.timing import LeaseTiming
from burdockgap.records.witness_ref import WitnessRef
from tests.builders import FakeClock, FakeFolds, make_session

TIMING = LeaseTiming()
NAMED = [11, 12, 13]


@pytest.fixture
def clock():
    return FakeClock()


def _holder(clock, witnesses):
    refs = [WitnessRef(incarnation=ref, address="") for ref in witnesses]
    entry = make_session(session_id=1, witnesses=refs)
    return LeaseHolder(entry, clock=clock, timing=TIMING, folds=FakeFolds())


@pytest.fixture
def holder(clock):
    return _holder(clock, NAMED)


def _ack(renew, **changes):
    fields = dict(zip(Ack.__slots__, renew.values(), strict=True))
    return Ack(**{**fields, **changes})


def test_lease_before_majority(holder, clock):
    holder.on_ack(_ack(holder.make_renew(11)))
    assert not holder.is_held(clock.now())


def test_lease_runs_from_older_send_time_of_majority(holder, clock):
    first = holder.make_renew(11)
    clock.time += 0.3
    second = holder.make_renew(12)
    clock.time += 0.5
    assert holder.on_ack(_ack(first))
    assert holder.on_ack(_ack(second))
    assert holder.expires_at() == pytest.approx(1000.0 + TIMING.duration_s)


def test_lease_ends_at_duration(holder, clock):
    for witness in NAMED:
        holder.on_ack(_ack(holder.make_renew(witness)))
    clock.time += TIMING.duration_s
    assert not holder.is_held(clock.now())


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"seq": 9}, id="unknown-seq"),
        pytest.param({"witness_incarnation": 99}, id="other-incarnation"),
        pytest.param({"session_id": 2}, id="other-session"),
    ],
)
def test_ack_ignored(holder, changes):
    assert not holder.on_ack(_ack(holder.make_renew(11), **changes))


def test_ack_of_old_renewal_does_not_shorten(holder, clock):
    old = [holder.make_renew(witness) for witness in NAMED]
    clock.time += 0.3
    for witness in NAMED:
        holder.on_ack(_ack(holder.make_renew(witness)))
    expires_at = holder.expires_at()
    for renew in old:
        holder.on_ack(_ack(renew))
    assert holder.expires_at() == expires_at


def test_lease_without_witnesses(clock):
    assert _holder(clock, []).expires_at() == math.inf


def test_witness_named_twice_counts_once(clock):
    holder = _holder(clock, [11, 11, 12, 13])
    holder.on_ack(_ack(holder.make_renew(11)))
    assert not holder.is_held(clock.now())
