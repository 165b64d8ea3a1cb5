from __future__ import annotations

from itertools import combinations

import pytest

from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.quorum import promises_needed, renewals_needed
from burdockgap.lease.timing import LeaseTiming
from burdockgap.records.witness_ref import WitnessRef
from tests.builders import FakeClock, FakeFolds, make_session


@pytest.mark.parametrize("count", range(1, 8))
def test_renewals_and_promises_share_a_witness(count):
    witnesses = range(count)
    for renewed in combinations(witnesses, renewals_needed(count)):
        for promised in combinations(witnesses, promises_needed(count)):
            assert set(renewed) & set(promised)


@pytest.mark.parametrize("count", range(1, 8))
def test_renewals_needed_is_minimal(count):
    assert renewals_needed(count) - 1 + promises_needed(count) <= count


def test_lease_outlives_one_of_two_witnesses():
    refs = [WitnessRef(incarnation=ref, address="") for ref in (11, 12)]
    clock = FakeClock()
    holder = LeaseHolder(
        make_session(session_id=1, witnesses=refs),
        clock=clock,
        timing=LeaseTiming(),
        folds=FakeFolds(),
    )
    renew = holder.make_renew(11)
    ack = Ack(
        session_id=1,
        witness_incarnation=11,
        seq=renew.seq,
        config_offset=0,
        control_offset=0,
    )
    assert holder.on_ack(ack)
    assert holder.is_held(clock.now())
