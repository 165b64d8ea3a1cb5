"""A target's limit under more requests than it takes."""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest

from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.rate_limit import RateLimit
from burdockgap.forward.slots import Slots
from burdockgap.forward.target_notice import TargetNotice
from burdockgap.verdict import Reason, Refusal
from tests.forward.builders import GateHarness, make_call
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


@pytest.fixture
def anyio_backend():
    return "asyncio"


def admissions(limit, times):
    return [now for now in times if limit.take(now)]


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 7.4, 14.1, 200.0])
def test_no_window_has_more_than_the_rule_allows(rate):
    limit = RateLimit()
    limit.change(rate, 0.0)
    # A burst, an idle time that fills the bucket, and another burst.
    times = [at / 1000 for at in (*range(3000), *range(6000, 12_000))]
    sent = admissions(limit, times)
    for start in sent:
        count = sum(start <= now < start + WINDOW_S for now in sent)
        assert count <= OVERAGE * rate * WINDOW_S + SLACK


@pytest.mark.parametrize("rate", [1.0, 14.1, 200.0])
def test_target_gets_what_it_asked_for(rate):
    limit = RateLimit()
    limit.change(rate, 0.0)
    sent = admissions(limit, [at / 1000 for at in range(10_000)])
    # The first token takes the time of one request.
    assert len(sent) >= rate * 10 - 1


def test_lowered_limit_does_not_keep_its_burst():
    limit = RateLimit()
    limit.change(200.0, 0.0)
    limit.change(4.0, 5.0)
    sent = admissions(limit, [5 + at / 1000 for at in range(1000)])
    assert len(sent) <= 4 + 2


def test_withdrawn_limit_admits_everything():
    limit = RateLimit()
    limit.change(1.0, 0.0)
    limit.change(None, 1.0)
    assert len(admissions(limit, [1.0] * 50)) == 50
    assert limit.wait_s(1.0, ahead=9) == 0.0


# A target that takes nothing is asked now and then, as only a response
# can withdraw its limit.
def test_limit_of_zero_is_probed():
    limit = RateLimit()
    limit.change(0.0, 0.0)
    sent = admissions(limit, [at / 100 for at in range(1000)])
    assert 3 <= len(sent) <= 6


def test_refused_requests_return_one_after_the_other():
    limit = RateLimit()
    limit.change(10.0, 0.0)
    times = [limit.return_after_s(0.0) for _ in range(5)]
    gaps = [later - time for time, later in pairwise(times)]
    assert all(gap == pytest.approx(0.1) for gap in gaps)
    assert limit.return_after_s(0.0, ahead=1000) <= 2.0


async def test_request_that_the_rate_will_not_admit_is_refused_at_once():
    limit = RateLimit()
    slots = Slots(size=4, queue_size=2, limit=limit)
    loop = asyncio.get_running_loop()
    limit.change(2.0, loop.time())
    began = loop.time()
    with pytest.raises(Refusal) as refused:
        await slots.acquire(priority=1, wait_s=0.1)
    assert refused.value.reason is Reason.RATE_LIMITED
    assert loop.time() - began < 0.05
    assert slots.in_flight == 0


async def test_rate_admits_the_most_urgent_first():
    limit, order = RateLimit(), []
    slots = Slots(size=9, queue_size=9, limit=limit)
    limit.change(20.0, asyncio.get_running_loop().time())

    async def request(name, priority):
        await slots.acquire(priority=priority, wait_s=1.0)
        order.append(name)

    async with asyncio.TaskGroup() as tasks:
        for name, priority in (("late", 3), ("early", 3), ("urgent", 0)):
            tasks.create_task(request(name, priority))
    assert order == ["urgent", "late", "early"]


async def test_notice_of_an_earlier_process_is_ignored():
    harness = GateHarness()
    harness.state.announced(make_info(born=2000))
    harness.state.note_notice(TargetNotice(rate_limit=1.0), 1000)
    harness.state.adopt_notice(KnownNotice(born=1000, rate_limit=1.0))
    assert harness.state.limit.rate is None


async def test_new_process_has_no_limit():
    harness = GateHarness()
    harness.state.announced(make_info())
    harness.state.note_notice(TargetNotice(rate_limit=1.0), 1000)
    assert harness.gate.load.rate_limit == 1.0
    harness.state.announced(make_info(born=2000))
    assert harness.gate.load.rate_limit is None


async def test_response_is_newer_than_what_other_daemons_know():
    harness = GateHarness()
    harness.state.announced(make_info())
    harness.state.note_notice(TargetNotice(), 1000)
    call = make_call(notice=KnownNotice(born=1000, rate_limit=1.0))
    harness.state.adopt_notice(call.notice)
    assert harness.state.limit.rate is None


async def test_lowest_limit_of_other_daemons_counts():
    harness = GateHarness()
    harness.state.announced(make_info())
    for rate_limit in (None, 4.0, 2.0, 3.0, None):
        harness.state.adopt_notice(
            KnownNotice(born=1000, rate_limit=rate_limit)
        )
    assert harness.state.limit.rate == 2.0
    harness.state.note_notice(TargetNotice(rate_limit=9.0), 1000)
    assert harness.state.limit.rate == 9.0


async def test_limit_known_to_a_caller_binds_before_the_first_response():
    harness = GateHarness()
    harness.state.announced(make_info())
    notice = KnownNotice(born=1000, rate_limit=1.0)
    outcome = await harness.gate.serve(make_call(notice=notice))
    assert outcome.reason is Reason.RATE_LIMITED
    assert outcome.retry_after_s > 0.5
    assert outcome.notice.rate_limit == 1.0
