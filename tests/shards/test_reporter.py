"""What a member tells the coordinator."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.clock import BootClock
from burdockgap.fleet.datagrams import REPORT
from burdockgap.forward.load import Load
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.lease import Lease
from burdockgap.shards.reporter import Reporter
from burdockgap.shards.reports import Report
from tests.forward.builders import GateHarness
from tests.gate.fakes import FakeClock
from tests.shards.fakes import FakeDatagrams, FakeStore, make_roster
from tests.sidecar.builders import make_info

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeHolder:
    """What a report takes from the holder of keys."""

    def __init__(self):
        self.pending = [[0, 9, 4]]
        self.rejected = []
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


def report_of(holder):
    """Return the report of a member with a holder of keys."""
    datagrams = FakeDatagrams()
    make_reporter(datagrams, holder=holder)._report()
    ((_address, kind, values),) = datagrams.sent
    assert kind == REPORT
    return Report.from_values(list(values))


async def test_report_names_ranges_that_earlier_holders_keep():
    report = report_of(FakeHolder())
    assert (report.revision, report.pending) == (5, [[0, 9, 4]])


async def test_report_without_configuration_has_followed_no_revision():
    """Else the coordinator would take all ranges for handed over."""
    report = report_of(None)
    assert report.term == 2
    assert report.revision == 0


async def test_member_reports_on_while_it_waits_for_its_turn_to_claim():
    """Else a new coordinator would miss it among its majority."""
    datagrams = FakeDatagrams()
    claims = []

    async def claim():
        claims.append(asyncio.get_running_loop().time())
        return False

    reporter = make_reporter(
        datagrams, own="z", others="abcdefg", claim=claim, clock=BootClock()
    )
    # Nobody answers, and six members have their turn before this one.
    began = asyncio.get_running_loop().time()
    task = asyncio.create_task(reporter.run())
    while not claims:
        await asyncio.sleep(0.02)
    task.cancel()
    took_s = claims[0] - began
    assert took_s > 1.1 + 6 * 0.25
    assert len(datagrams.sent) > took_s / 0.3 - 2
