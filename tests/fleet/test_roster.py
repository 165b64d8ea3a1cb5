"""What a daemon knows of other members' targets."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.fleet.roster import Roster
from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.load import Load
from tests.shards.builders import make_member

pytestmark = pytest.mark.anyio

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
