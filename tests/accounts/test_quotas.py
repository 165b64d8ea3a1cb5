"""Messages of the quotas between daemons: late, doubled, malformed."""

from __future__ import annotations

import asyncio

import msgpack
import pytest

from burdockgap.accounts.account import Account
from burdockgap.accounts.holders import Holders
from burdockgap.accounts.quotas import Quotas
from burdockgap.fleet.datagrams import (
    QUOTA_ASK,
    QUOTA_GRANT,
    QUOTA_POOL,
    Datagrams,
)
from burdockgap.fleet.roster import Roster
from burdockgap.scheduling.quota_limits import QuotaBounds
from tests.shards.builders import make_member

pytestmark = pytest.mark.anyio

ACCOUNT = Account("acme", rate_per_s=10, burst=10)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class RecordedDatagrams(Datagrams):
    """Records what is sent instead of sending it."""

    __slots__ = ("sent",)

    def __init__(self):
        super().__init__()
        self.sent = []

    def send(self, _address, kind, *values: object):
        self.sent.append((kind, list(values)))


def make_quotas(*others: str, knows_members=True):
    """Return quotas of the member ``own``, which others know."""
    roster = Roster(make_member("own"), lambda _event, _fields: None)
    for name in others:
        roster.record_announcement(make_member(name))
    datagrams = RecordedDatagrams()
    quotas = Quotas(
        roster=roster,
        datagrams=datagrams,
        bounds=QuotaBounds(),
        knows_members=lambda: knows_members,
    )
    quotas.configure({ACCOUNT.name: ACCOUNT})
    return quotas, datagrams


async def asked(datagrams):
    """Wait for a request for tokens; return its number."""
    while True:
        await asyncio.sleep(0.001)
        for kind, values in datagrams.sent:
            if kind == QUOTA_ASK:
                datagrams.sent.clear()
                return values[2]


async def test_tokens_that_arrive_twice_are_added_once():
    """Guards against datagrams that the network delivers twice."""
    quotas, datagrams = make_quotas("m1")
    message = ["m1", 5, 1, [["acme", 2.0]]]
    for _ in range(2):
        datagrams.handlers[QUOTA_POOL](message)
    assert quotas.pooled == 2.0
    datagrams.handlers[QUOTA_POOL](["m1", 6, 1, [["acme", 1.0]]])
    assert quotas.pooled == 3.0


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(["stranger", 5, 1, [["acme", 2.0]]], id="no-member"),
        pytest.param(["m1", 5, 1, [["other", 2.0]]], id="no-account"),
        pytest.param(["m1", 5, 1, [["acme", -2.0]]], id="negative"),
        pytest.param(["m1", 5, 1, [["acme", float("nan")]]], id="nan"),
        pytest.param(["m1", 5, "x", [["acme", 2.0]]], id="number-text"),
        pytest.param(["m1"], id="short"),
    ],
)
async def test_odd_tokens_are_not_added(message):
    """Guards against tokens from a message that makes no sense."""
    quotas, datagrams = make_quotas("m1")
    data = msgpack.packb([QUOTA_POOL, *message])
    datagrams.datagram_received(data, None)
    assert quotas.pooled == 0.0


async def test_pool_lends_no_more_than_it_has():
    _quotas, datagrams = make_quotas("m1")
    datagrams.handlers[QUOTA_POOL](["m1", 5, 1, [["acme", 2.5]]])
    for wanted in (1, 5, 5):
        datagrams.handlers[QUOTA_ASK](["m1", "acme", 7, wanted])
    granted = [values[2] for kind, values in datagrams.sent]
    assert granted == [1, 1, 0]


async def test_only_the_reply_to_the_last_request_counts():
    """Guards against late or doubled replies that admit twice."""
    quotas, datagrams = make_quotas("m1", "m2")
    request = asyncio.create_task(quotas.acquire(ACCOUNT))
    number = await asked(datagrams)
    datagrams.handlers[QUOTA_GRANT](["acme", number - 1, 1])
    assert await asked_again(datagrams) == []
    for _ in range(2):
        datagrams.handlers[QUOTA_GRANT](["acme", number, 1])
    assert await request == 0.0
    second = asyncio.create_task(quotas.acquire(ACCOUNT))
    assert await asked(datagrams) > number
    second.cancel()


async def asked_again(datagrams):
    """Return what is sent within a short time."""
    await asyncio.sleep(0.02)
    return datagrams.sent


async def test_silent_holders_lead_to_a_refusal_in_time():
    quotas, _ = make_quotas("m1", "m2")
    async with asyncio.timeout(2.0):
        assert await quotas.acquire(ACCOUNT) > 0.0


async def test_holder_that_did_not_answer_is_asked_last():
    """Guards against a delay of all requests while a holder is lost."""
    quotas, datagrams = make_quotas("m1", "m2")
    quotas._roster.own.leaving = True
    quotas._holders.refresh()
    silent, _ = quotas._holders.of("acme")
    requests = quotas._requests["acme"]
    requests._silent.add(silent)
    for _ in range(8):
        request = asyncio.create_task(quotas.acquire(ACCOUNT))
        number = await asked(datagrams)
        datagrams.handlers[QUOTA_GRANT](["acme", number, 1])
        assert await request == 0.0
        # A reply of the silent one would have ended this.
        assert requests._silent == {silent}


async def test_cancelled_request_leaves_its_token_to_the_next():
    quotas, datagrams = make_quotas("m1", "m2")
    request = asyncio.create_task(quotas.acquire(ACCOUNT))
    number = await asked(datagrams)
    request.cancel()
    datagrams.handlers[QUOTA_GRANT](["acme", number, 1])
    await asyncio.sleep(0.01)
    assert await quotas.acquire(ACCOUNT) == 0.0
    assert datagrams.sent == []


async def test_daemon_that_knows_no_member_creates_no_tokens():
    """Guards against a restart in which each daemon takes all."""
    quotas, _ = make_quotas(knows_members=False)
    quotas._tick(asyncio.get_running_loop().time() + 1.0)
    assert quotas.pooled == 0.0


async def test_rate_is_divided_by_silent_members_too():
    """Guards against parts of a cut site that each use the limit."""
    roster = Roster(make_member("own"), lambda _event, _fields: None)
    for index in range(9):
        roster.record_announcement(make_member(f"m{index}"))
    leaving = make_member("gone")
    leaving.leaving = True
    roster.record_announcement(leaving)
    entries = [roster.entry(name) for name in ("m0", "m1", "gone")]
    for entry in entries:
        entry.heard_at = entry.known_at = entry.heard_at - 100.0
    holders = Holders(roster)
    assert holders.known == 10
    assert not {"m0", "m1", "gone"} & set(holders.of("acme"))


async def test_token_of_a_cancelled_request_is_kept():
    """A client that leaves as its token arrives must not use it up."""
    quotas, _ = make_quotas("other")
    requests = quotas._requests[ACCOUNT.name]
    waiter = asyncio.create_task(requests.get())
    await asyncio.sleep(0)
    requests._serve(1)
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert waiter.cancelled()
    assert await quotas.acquire(ACCOUNT) == 0.0
