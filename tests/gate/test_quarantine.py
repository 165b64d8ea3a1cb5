from __future__ import annotations

import pytest

from burdockgap.gate.fingerprint import fingerprint_of
from burdockgap.gate.messages.suspect import Suspect
from burdockgap.gate.messages.suspects import Suspects
from burdockgap.gate.quarantine import Quarantine
from burdockgap.verdict import Refusal, Verdict
from burdockgap.wire.codec import pack, unpack
from tests.gate.fakes import FakeClock

CRASHING, HARMLESS = 1, 2


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(service="records", clock=clock)


def test_two_crashes_block_for_a_while(quarantine, clock):
    quarantine.crashed("boot-1", [CRASHING, HARMLESS])
    quarantine.crashed("boot-1", [CRASHING, HARMLESS])
    assert not quarantine.blocks(CRASHING)
    quarantine.crashed("boot-2", [CRASHING])
    with pytest.raises(Refusal) as caught:
        quarantine.check(CRASHING)
    assert caught.value.verdict is Verdict.NOT_RUN
    quarantine.check(HARMLESS)
    clock.seconds += 61
    quarantine.check(CRASHING)
    quarantine.crashed("boot-3", [CRASHING])
    assert quarantine.blocks(CRASHING)


def test_crashes_of_other_daemons_count(quarantine, clock):
    """All daemons refuse a request that crashed targets of several."""
    other = Quarantine(service="records", clock=clock)
    other.crashed("boot-1", [CRASHING])
    quarantine.crashed("boot-2", [CRASHING])
    notice = unpack(pack(other.export()), Suspects)
    quarantine.merge(notice)
    assert quarantine.blocks(CRASHING)
    third = Quarantine(service="records", clock=clock)
    third.merge(quarantine.export())
    assert third.blocks(CRASHING)


def test_repeated_report_does_not_prolong_block(quarantine, clock):
    quarantine.crashed("boot-1", [CRASHING])
    quarantine.crashed("boot-2", [CRASHING])
    notice = quarantine.export()
    clock.seconds += 61
    quarantine.merge(notice)
    assert not quarantine.blocks(CRASHING)


def test_merge_of_other_service(quarantine, clock):
    other = Quarantine(service="dispatch", clock=clock)
    other.crashed("boot-1", [CRASHING])
    other.crashed("boot-2", [CRASHING])
    quarantine.merge(other.export())
    assert not quarantine.blocks(CRASHING)


def test_fingerprint_distinguishes_parts():
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


def test_frequent_request_is_not_blocked(quarantine, clock):
    """In flight at each crash, but with responses in between."""
    for boot in ("boot-1", "boot-2", "boot-3"):
        quarantine.answered(HARMLESS)
        clock.seconds += 1
        quarantine.crashed(boot, [CRASHING, HARMLESS])
    assert quarantine.blocks(CRASHING)
    assert not quarantine.blocks(HARMLESS)


def test_response_clears_suspect(quarantine, clock):
    quarantine.crashed("boot-1", [HARMLESS])
    quarantine.answered(HARMLESS)
    clock.seconds += 20
    quarantine.crashed("boot-2", [HARMLESS])
    assert not quarantine.blocks(HARMLESS)


def test_old_response_does_not_exempt(quarantine, clock):
    """A request that began to crash targets later is blocked."""
    quarantine.answered(CRASHING)
    clock.seconds += 20
    quarantine.crashed("boot-1", [CRASHING])
    quarantine.crashed("boot-2", [CRASHING])
    assert quarantine.blocks(CRASHING)


def test_suspects_of_many_crashes_fit_a_datagram(quarantine):
    for boot in range(20):
        quarantine.crashed(f"boot-{boot}", range(boot, boot + 40))
    assert len(pack(quarantine.export())) < 1400


def test_suspect_without_crashes_is_ignored(quarantine):
    suspect = Suspect(fingerprint=CRASHING, crashes=[], age_s=0.0)
    quarantine.merge(Suspects(service="records", entries=[suspect]))
    quarantine.answered(CRASHING)
    assert not quarantine.blocks(CRASHING)
    assert not quarantine.export().entries


# BUDGET: a request that was sent for minutes crashed two more servers
# each time its quarantine ended.
def test_each_further_crash_prolongs_the_quarantine(clock):
    quarantine = Quarantine(service="records", clock=clock, growth=4.0)
    quarantine.crashed("boot-1", [CRASHING])
    began = clock.seconds
    crashes = 1
    while clock.seconds < began + 3600:
        if not quarantine.blocks(CRASHING):
            crashes += 1
            quarantine.crashed(f"boot-{crashes}", [CRASHING])
        quarantine.export()
        clock.seconds += 5
    # Two, and then one after 60, 240 and 960 s; the rule allows three
    # after the third.
    assert crashes == 5


def test_answer_ends_a_long_quarantine(clock):
    quarantine = Quarantine(service="records", clock=clock, growth=4.0)
    for boot in range(6):
        quarantine.crashed(f"boot-{boot}", [CRASHING])
    clock.seconds += 3600
    assert quarantine.blocks(CRASHING)
    quarantine.answered(CRASHING)
    assert not quarantine.blocks(CRASHING)


# BUDGET: a daemon that started again was told the newest suspects only,
# so that those of some crashes displaced a quarantined request.
def test_quarantined_requests_are_told_before_newer_suspects(
    quarantine, clock
):
    quarantine.crashed("boot-1", [CRASHING])
    quarantine.crashed("boot-2", [CRASHING])
    clock.seconds += 1
    quarantine.crashed("boot-3", range(100, 200))
    other = Quarantine(service="records", clock=clock)
    other.merge(quarantine.export())
    assert other.blocks(CRASHING)


# RECOVER: a request that most callers send was running whenever another
# one crashed a server, and was refused for as long as that one.
def test_requests_of_the_same_crashes_are_tried_again_soon(clock):
    quarantine = Quarantine(
        service="records", clock=clock, growth=4.0, shared_s=2.0
    )
    quarantine.crashed("boot-1", [CRASHING, HARMLESS, 3])
    quarantine.crashed("boot-2", [CRASHING, HARMLESS])
    assert quarantine.blocks(CRASHING)
    assert quarantine.blocks(HARMLESS)
    clock.seconds += 2.1
    assert not quarantine.blocks(HARMLESS)
    quarantine.answered(HARMLESS)
    # No other request explains these crashes any more.
    assert quarantine.blocks(CRASHING)
    clock.seconds += 59
    assert not quarantine.blocks(CRASHING)


def test_request_of_all_crashes_is_not_tried_soon(clock):
    quarantine = Quarantine(
        service="records", clock=clock, growth=4.0, shared_s=2.0
    )
    quarantine.crashed("boot-1", [CRASHING, HARMLESS])
    quarantine.crashed("boot-2", [CRASHING, HARMLESS])
    quarantine.crashed("boot-3", [CRASHING])
    clock.seconds += 2.1
    assert not quarantine.blocks(HARMLESS)
    assert quarantine.blocks(CRASHING)
