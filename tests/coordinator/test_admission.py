from __future__ import annotations

import pytest

from burdockgap.coordinator.admission import Admission
from burdockgap.fold.control_state import ControlState
from burdockgap.peer.messages.join import Join


def make_join(number, data_centre, *, region="r1", service="records"):
    return Join(
        session_id=number,
        incarnation=1000 + number,
        name=f"s-{number}",
        service=service,
        data_centre=data_centre,
        region=region,
        peer_address=f"127.0.0.1:{number}",
        http_address="",
        slots=6,
    )


def admit(joins):
    admission = Admission(
        control=ControlState(), joins=joins, witnesses=3, excluded=set()
    )
    return admission.entries()


def data_centres_of(joins, witnesses):
    by_incarnation = {join.incarnation: join for join in joins}
    return [
        by_incarnation[witness.incarnation].data_centre
        for witness in witnesses
    ]


def test_witnesses_are_in_other_data_centres():
    joins = [make_join(n, f"dc{n % 4}") for n in range(1, 13)]
    for entry in admit(joins):
        chosen = data_centres_of(joins, entry.witnesses)
        assert len(chosen) == 3
        assert len({*chosen, entry.data_centre}) == 4


def test_majority_of_witnesses_is_in_own_region():
    joins = [
        make_join(n, f"dc{n % 6}", region=f"r{n % 6 // 3}")
        for n in range(1, 25)
    ]
    regions = {join.incarnation: join.region for join in joins}
    for entry in admit(joins):
        near = [
            witness
            for witness in entry.witnesses
            if regions[witness.incarnation] == entry.region
        ]
        assert len(near) >= 2


def test_witnessing_is_spread_evenly():
    joins = [make_join(n, f"dc{n % 3}") for n in range(1, 31)]
    duties = [
        witness.incarnation
        for entry in admit(joins)
        for witness in entry.witnesses
    ]
    loads = [duties.count(join.incarnation) for join in joins]
    assert max(loads) <= 2 * 3


def test_successors_serve_the_same_service_elsewhere():
    joins = [make_join(n, f"dc{n % 3}") for n in range(1, 7)]
    joins += [
        make_join(n, f"dc{n % 3}", service="dispatch") for n in range(7, 13)
    ]
    services = {join.session_id: join.service for join in joins}
    for entry in admit(joins):
        assert len(entry.successors) == 4
        assert {services[successor] for successor in entry.successors} == {
            entry.service
        }
        assert entry.session_id not in entry.successors


@pytest.mark.parametrize("daemons", [1, 2])
def test_too_few_daemons_have_no_witnesses(daemons):
    joins = [make_join(n, "dc1") for n in range(1, daemons + 1)]
    assert all(entry.witnesses == [] for entry in admit(joins))


def test_three_daemons_witness_each_other():
    joins = [make_join(n, "dc1") for n in range(1, 4)]
    assert all(len(entry.witnesses) == 2 for entry in admit(joins))


def test_batches_contain_all_entries():
    joins = [make_join(n, f"dc{n % 4}") for n in range(1, 71)]
    admission = Admission(
        control=ControlState(), joins=joins, witnesses=3, excluded=set()
    )
    batches = list(admission.batches(32))
    assert [len(batch) for batch in batches] == [32, 32, 6]
    assert [entry for batch in batches for entry in batch] == admit(joins)
