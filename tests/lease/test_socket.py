from __future__ import annotations

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.lease.certificates import Certificates
from burdockgap.lease.counters import IGNORED
from burdockgap.lease.datagram_receivers import DatagramReceivers
from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.socket import open_lease_socket
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.wire import pack
from burdockgap.wire.ids import new_id
from burdockgap.wire.seal import Sealer
from tests.builders import FakeFolds, make_session

SEALER = Sealer(b"secret")
TIMING = LeaseTiming(duration_s=0.6, renew_s=0.02, margin_s=0.05)
_IP_UDP_HEADERS_BYTES = 28
_BUDGET_BYTES_PER_S = 3000


def _receivers(folds, socket, seen):
    witness = Witness(
        incarnation=11,
        address=socket.address,
        clock=BootClock(),
        timing=TIMING,
        folds=folds,
    )
    return DatagramReceivers(
        witness=witness,
        certificates=Certificates(folds),
        on_offsets=lambda *offsets: seen.append(offsets),
    )


async def _until(condition):
    with anyio.fail_after(3):
        while not condition():
            await anyio.sleep(0.005)


def test_lease_over_sockets_from_renewal_to_promise():
    async def main():
        folds = FakeFolds()
        folds.claim()
        seen = []
        async with (
            open_lease_socket(SEALER, host="127.0.0.1", port=0) as first,
            open_lease_socket(SEALER, host="127.0.0.1", port=0) as second,
            anyio.create_task_group() as tasks,
        ):
            first.parties = _receivers(folds, first, seen)
            second.parties = _receivers(folds, second, seen)
            ref = WitnessRef(incarnation=11, address=second.address)
            entry = make_session(
                session_id=1,
                witnesses=[ref],
                successors=[2],
                peer_address=first.address,
            )
            successor = make_session(session_id=2, peer_address=first.address)
            folds.admit(entry, successor)
            lease = LeaseHolder(
                entry, clock=BootClock(), timing=TIMING, folds=folds
            )
            first.parties.holders[1] = lease
            tasks.start_soon(lease.run, first)
            tasks.start_soon(second.parties.witness.run, second)
            await _until(lambda: lease.is_held(BootClock().now()))
            assert (first.address, 0, folds.control.offset) in seen
            lease.withhold()
            certificates = first.parties.certificates
            await _until(lambda: certificates.is_complete(1))
            assert not lease.is_held(BootClock().now())
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    ("cause", "datagram"),
    [
        pytest.param("seal", b"short", id="not-sealed"),
        pytest.param(
            "seal",
            Sealer(b"other").seal(
                pack(Promise(session_id=1, witness_incarnation=1))
            ),
            id="other-secret",
        ),
        pytest.param("decode", SEALER.seal(b"\xc1"), id="garbage"),
        pytest.param("decode", SEALER.seal(b"\x91\x28"), id="no-fields"),
    ],
)
def test_bad_datagram_counted(cause, datagram):
    async def main():
        async with open_lease_socket(
            SEALER, host="127.0.0.1", port=0
        ) as socket:
            socket.datagram_received(datagram, ("127.0.0.1", 1))

    before = IGNORED.labels(cause)._value.get()
    anyio.run(main)
    assert IGNORED.labels(cause)._value.get() == before + 1


def test_traffic_of_one_daemon_within_budget():
    """Three witnesses and three sessions to witness, both ways."""
    fields = {
        "session_id": new_id(),
        "witness_incarnation": new_id(),
        "seq": 2**32 - 1,
        "config_offset": 2**16 - 1,
        "control_offset": 2**32 - 1,
    }
    sizes = [len(SEALER.seal(pack(kind(**fields)))) for kind in (Renew, Ack)]
    per_renewal = sum(sizes) + 2 * _IP_UDP_HEADERS_BYTES
    assert 6 * per_renewal / LeaseTiming().renew_s < _BUDGET_BYTES_PER_S
