from __future__ import annotations

import pytest

from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.gate.quarantine import Quarantine
from burdockgap.verdict import Refusal, Verdict
from burdockgap.wire.codec import pack, unpack
from tests.gate.fakes import FakeClock

KILLER, INNOCENT = 1, 2


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(service="records", clock=clock)


def test_two_crashes_block_for_a_while(quarantine, clock):
    quarantine.crashed("boot-1", [KILLER, INNOCENT])
    quarantine.crashed("boot-1", [KILLER, INNOCENT])
    assert not quarantine.blocks(KILLER)
    quarantine.crashed("boot-2", [KILLER])
    with pytest.raises(Refusal) as caught:
        quarantine.check(KILLER)
    assert caught.value.verdict is Verdict.NOT_RUN
    quarantine.check(INNOCENT)
    clock.seconds += 61
    quarantine.check(KILLER)
    quarantine.crashed("boot-3", [KILLER])
    assert quarantine.blocks(KILLER)


def test_crashes_of_other_daemons_count(quarantine, clock):
    """A request that went from daemon to daemon is refused by all."""
    other = Quarantine(service="records", clock=clock)
    other.crashed("boot-1", [KILLER])
    quarantine.crashed("boot-2", [KILLER])
    notice = unpack(pack(other.export()), Suspects)
    quarantine.merge(notice)
    assert quarantine.blocks(KILLER)
    third = Quarantine(service="records", clock=clock)
    third.merge(quarantine.export())
    assert third.blocks(KILLER)


def test_echo_does_not_prolong(quarantine, clock):
    quarantine.crashed("boot-1", [KILLER])
    quarantine.crashed("boot-2", [KILLER])
    notice = quarantine.export()
    clock.seconds += 61
    quarantine.merge(notice)
    assert not quarantine.blocks(KILLER)


def test_merge_of_other_service(quarantine, clock):
    other = Quarantine(service="dispatch", clock=clock)
    other.crashed("boot-1", [KILLER])
    other.crashed("boot-2", [KILLER])
    quarantine.merge(other.export())
    assert not quarantine.blocks(KILLER)


def test_fingerprint_tells_parts_apart():
    prints = {
        fingerprint_of("GET", "/a", b""),
        fingerprint_of("GET", "/", b"a"),
        fingerprint_of("POST", "/a", b""),
    }
    assert len(prints) == 3
    long = b"x" * 4096
    assert fingerprint_of("POST", "/", long) == fingerprint_of(
        "POST", "/", long + b"y"
    )


def test_popular_request_is_not_locked_out(quarantine, clock):
    """Beside the killer at each crash, but answered in between."""
    for boot in ("boot-1", "boot-2", "boot-3"):
        quarantine.answered(INNOCENT)
        clock.seconds += 1
        quarantine.crashed(boot, [KILLER, INNOCENT])
    assert quarantine.blocks(KILLER)
    assert not quarantine.blocks(INNOCENT)


def test_answer_takes_back_blame(quarantine, clock):
    quarantine.crashed("boot-1", [INNOCENT])
    quarantine.answered(INNOCENT)
    clock.seconds += 20
    quarantine.crashed("boot-2", [INNOCENT])
    assert not quarantine.blocks(INNOCENT)


def test_request_that_turned_deadly_is_blocked(quarantine, clock):
    """Answers of long ago do not protect it."""
    quarantine.answered(KILLER)
    clock.seconds += 20
    quarantine.crashed("boot-1", [KILLER])
    quarantine.crashed("boot-2", [KILLER])
    assert quarantine.blocks(KILLER)


def test_suspects_of_many_crashes_fit_a_datagram(quarantine):
    for boot in range(20):
        quarantine.crashed(f"boot-{boot}", range(boot, boot + 40))
    assert len(pack(quarantine.export())) < 1400
