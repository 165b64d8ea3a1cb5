"""What a daemon knows of other members' targets."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.fleet.roster import Roster
from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.load import Load
from burdockgap.forward.outcome import Outcome
from burdockgap.http1.response import Response
from burdockgap.verdict import Verdict
from tests.shards.builders import make_member

pytestmark = pytest.mark.anyio

LOAD_INDEX = Outcome(Verdict.RAN).encode().index(None, 4)
LEAVING = KnownNotice(born=1000, rate_limit=4.0, leaving_s=1.0)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_roster():
    return Roster(make_member("own"), lambda _event, _fields: None)


# A target that names a limit is asked less, before it has to refuse.
async def test_limited_target_is_expected_to_take_longer():
    roster = make_roster()
    free, limited = make_member("free"), make_member("limited")
    free.load = Load(service_s=0.2)
    limited.load = Load(service_s=0.05, rate_limit=4.0, rate_wait_s=0.1)
    for member in (free, limited):
        roster.record_announcement(member)
    assert roster.expected_latency_s(limited) < roster.expected_latency_s(free)
    roster.note_call("limited")
    assert roster.expected_latency_s(limited) > roster.expected_latency_s(free)


async def test_notice_is_kept_when_its_daemon_has_started_again():
    roster = make_roster()
    before, after = make_member("m1"), make_member("m1")
    before.notice = LEAVING
    after.incarnation = before.incarnation + 1
    roster.record_announcement(before)
    roster.record_announcement(after)
    await asyncio.sleep(0.05)
    notice = roster.notice("m1")
    assert notice.rate_limit == 4.0
    assert notice.leaving_s >= 1.05


async def test_notice_from_the_store_is_not_used():
    roster = make_roster()
    member = make_member("m1")
    member.notice = LEAVING
    roster.add_stored(member)
    assert roster.notice("m1") is None


# A restarted server would get the requests that its predecessor had
# room for.
async def test_load_of_another_incarnation_is_not_used():
    events = []
    roster = Roster(
        make_member("own"), lambda event, _fields: events.append(event)
    )
    member = make_member("m1")
    roster.record_announcement(member)
    roster.note_load("m1", Load(in_flight=9), member.incarnation + 1)
    assert roster.load(member).in_flight == 0
    assert roster.rejected_loads.count == 1
    assert "load_rejected" in events


# Its reply is a response that has been produced.
def test_outcome_with_an_impossible_load_keeps_its_response():
    outcome = Outcome(Verdict.RAN, response=Response(200), load=Load())
    values = outcome.encode()
    values[LOAD_INDEX][0] = -1
    decoded = Outcome.decode(values)
    assert decoded.response.status == 200
    assert decoded.load is None
    assert "in flight" in decoded.load_error


# Calls reported since would count twice, calls under way not at all.
async def test_call_counts_until_it_ends_or_a_load_includes_it():
    roster = make_roster()
    member = make_member("m1")
    roster.record_announcement(member)
    sent_at = roster.note_call("m1")
    assert roster.candidate(member).own_calls == 1
    roster.note_call_ended("m1", sent_at)
    assert roster.candidate(member).own_calls == 0
    roster.note_call("m1")
    roster.note_load("m1", Load(), member.incarnation)
    assert roster.candidate(member).own_calls == 1
    await asyncio.sleep(0.01)
    roster.note_load("m1", Load(in_flight=1), member.incarnation)
    assert roster.candidate(member).own_calls == 0


async def test_refusal_counts_until_a_load_shows_room():
    roster = make_roster()
    member = make_member("m1")
    full = Load(in_flight=3, slots=3, service_s=0.3)
    roster.record_announcement(member)
    roster.note_load("m1", full, member.incarnation)
    roster.note_refusal("m1")
    assert roster.candidate(member).full_s == pytest.approx(0.1, abs=0.05)
    roster.note_load("m1", Load(slots=3), member.incarnation)
    assert roster.candidate(member).full_s == 0


class RosterWithoutScans(Roster):
    """Fails if all servers of a service are examined."""

    def servers(self, service):
        raise AssertionError(f"servers of {service} were examined")


async def test_refusal_takes_no_scan_if_the_service_time_is_known():
    """Each refused attempt cost 0.8 ms of CPU time at 195 members."""
    roster = RosterWithoutScans(
        make_member("own"), lambda _event, _fields: None
    )
    member = make_member("m1")
    member.load = Load(in_flight=3, slots=3, service_s=0.1)
    roster.record_announcement(member)
    roster.note_refusal("m1")
    assert roster.candidate(member).full_s > 0
