from __future__ import annotations

import pytest

from burdockgap.lease.certificates import Certificates
from burdockgap.lease.datagram_receivers import DatagramReceivers
from burdockgap.lease.dispatch import handle
from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.records.witness_ref import WitnessRef
from tests.builders import FakeClock, FakeFolds, make_session

SOURCE = "127.0.0.1:40000"
OFFSETS = {"config_offset": 3, "control_offset": 4}


@pytest.fixture
def seen():
    return []


@pytest.fixture
def parties(seen):
    folds = FakeFolds()
    folds.claim()
    witness = WitnessRef(incarnation=11, address="10.0.0.2:7")
    entry = make_session(
        session_id=1, witnesses=[witness], peer_address="10.0.0.1:7"
    )
    folds.admit(entry)
    clock = FakeClock()
    timing = LeaseTiming()
    parties = DatagramReceivers(
        witness=Witness(
            incarnation=11,
            address=witness.address,
            clock=clock,
            timing=timing,
            folds=folds,
        ),
        certificates=Certificates(folds),
        on_offsets=lambda *offsets: seen.append(offsets),
    )
    parties.holders[1] = LeaseHolder(
        entry, clock=clock, timing=timing, folds=folds
    )
    return parties


@pytest.mark.parametrize(
    ("kind", "session_id", "peer"),
    [
        pytest.param(Renew, 1, "10.0.0.1:7", id="renewal"),
        pytest.param(Renew, 2, SOURCE, id="renewal of an unknown session"),
        pytest.param(Ack, 1, "10.0.0.2:7", id="acknowledgement"),
        pytest.param(Ack, 2, SOURCE, id="acknowledgement of another"),
    ],
)
def test_offsets_come_with_the_peers_own_address(
    parties, seen, kind, session_id, peer
):
    msg = kind(session_id=session_id, witness_incarnation=11, seq=1, **OFFSETS)
    handle(msg, parties, SOURCE)
    assert seen == [(peer, 3, 4)]
