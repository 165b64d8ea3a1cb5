"""Tests of a member's reports to the coordinator."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.clock import BootClock
from burdockgap.fleet.datagrams import LEASE, REPORT
from burdockgap.forward.load import Load
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.lease import AUTHORITY_S, CLOCK_RATE, Lease
from burdockgap.shards.reporter import Reporter
from burdockgap.shards.reports import TARGET_UNKNOWN, Report
from tests.forward.builders import GateHarness
from tests.gate.fakes import FakeClock
from tests.shards.fakes import FakeDatagrams, FakeStore, make_roster
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeHolder:
    """The parts of a ``ShardHolder`` that a report reads."""

    def __init__(self):
        self.pending = [[0, 9, 4]]
        self.unusable = []
        self.may_be_held_by_successor = False
        self.samples = self

    def take(self):
        return 0, []


def make_reporter(
    datagrams, *, own="a", others=("b",), holder=None, claim=None, clock=None
):
    """Return the reporter of a member that knows revision 5."""
    view = ControlView(lambda: None)
    view.adopt(
        ControlState(
            term=2, revision=5, coordinator="b", incarnation=sum(b"b")
        )
    )
    clock = clock or FakeClock()
    world = GateHarness()
    world.state.announced(make_info(born=7))
    return Reporter(
        roster=make_roster(own, others),
        view=view,
        store=ControlStore(FakeStore()),
        datagrams=datagrams,
        clock=clock,
        lease=Lease(clock),
        target=world.state,
        holder=lambda: holder,
        load=Load,
        is_active=lambda: False,
        claim=claim,
        pull=lambda _member, _version: None,
        on_event=lambda _event, _fields: None,
    )


def sent_report(holder):
    """Return the report that a member with the given holder sends."""
    datagrams = FakeDatagrams()
    make_reporter(datagrams, holder=holder)._report()
    ((_address, kind, values),) = datagrams.sent
    assert kind == REPORT
    return Report.from_values(list(values))


async def test_report_lists_pending_ranges():
    report = sent_report(FakeHolder())
    assert (report.revision, report.pending) == (5, [[0, 9, 4]])


async def test_target_that_may_hold_keys_of_its_predecessor_is_unknown():
    """Its keys are awaited and not assigned to others."""
    holder = FakeHolder()
    assert sent_report(holder).born == 7
    holder.may_be_held_by_successor = True
    report = sent_report(holder)
    assert report.born == TARGET_UNKNOWN
    assert not report.takes_work


async def test_report_without_configuration_has_revision_zero():
    """Otherwise all its ranges would count as released by others."""
    report = sent_report(None)
    assert report.term == 2
    assert report.revision == 0


async def test_member_keeps_reporting_while_its_claim_is_delayed():
    """Otherwise its vote would be missing for a new coordinator."""
    datagrams = FakeDatagrams()
    claims = []

    async def claim(_answered_at):
        claims.append(asyncio.get_running_loop().time())
        return False

    reporter = make_reporter(
        datagrams, own="z", others="abcdefg", claim=claim, clock=BootClock()
    )
    # No coordinator answers, and six members claim before this one.
    started_at = asyncio.get_running_loop().time()
    task = asyncio.create_task(reporter.run())
    while not claims:
        await asyncio.sleep(0.02)
    task.cancel()
    took_s = claims[0] - started_at
    assert took_s > 1.1 + 6 * 0.25
    assert len(datagrams.sent) > took_s / 0.3 - 2


# OWNER: the earlier process of a restarted daemon may have followed a
# later coordinator than the one that a restored store names.
async def test_no_report_while_votes_of_an_earlier_process_may_count(
    monkeypatch,
):
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    reporter = make_reporter(FakeDatagrams())
    store = FakeStore()
    reporter._store = ControlStore(store)
    await reporter._read_stored_state()
    store.value = ControlState(term=1, generation=1).encode()
    await reporter._read_stored_state()
    assert not pauses
    store.restore(store.copy())
    await reporter._read_stored_state()
    assert pauses == [AUTHORITY_S * CLOCK_RATE]


# OWNER: a copy from before the first claim has no state at all, but the
# earlier process may have followed a coordinator.
async def test_no_report_at_once_if_the_store_lost_all_states(monkeypatch):
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    reporter = make_reporter(FakeDatagrams())
    store = FakeStore()
    reporter._store = ControlStore(store)
    store.restore(store.copy())
    await reporter._read_stored_state()
    assert pauses == [AUTHORITY_S * CLOCK_RATE]


# Guards against keys without a lease at members that have not received
# the newest of many revisions yet.
@pytest.mark.parametrize(("required_revision", "until"), [(5, 1.5), (6, 0.0)])
async def test_lease_is_extended_with_the_required_revision(
    required_revision, until
):
    datagrams = FakeDatagrams()
    reporter = make_reporter(datagrams)
    datagrams.handlers[LEASE](
        [sum(b"b"), 2, 7, required_revision, 0.0, 0.0, 1.5]
    )
    assert reporter._lease.until == until


def test_lease_ends_with_the_lineage_of_the_control_state():
    lease = Lease(FakeClock())
    lease.follow(0)
    lease.extend(0.0, 1.5)
    lease.follow(0)
    assert lease.until == 1.5
    lease.follow(1)
    assert lease.until == 0.0
