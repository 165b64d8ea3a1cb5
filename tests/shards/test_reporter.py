"""What a member tells the coordinator."""

from __future__ import annotations

import pytest

from burdockgap.fleet.datagrams import REPORT
from burdockgap.forward.load import Load
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.lease import Lease
from burdockgap.shards.reporter import Reporter
from burdockgap.shards.reports import Report
from tests.forward.builders import GateWorld
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


def report_of(holder):
    """Return the report of a member that knows revision 5."""
    view = ControlView(lambda: None)
    view.adopt(ControlState(term=2, revision=5, coordinator="b"))
    datagrams = FakeDatagrams()
    clock = FakeClock()
    world = GateWorld()
    world.state.announced(make_info(born=7))
    reporter = Reporter(
        roster=make_roster("a", ["b"]),
        view=view,
        store=ControlStore(FakeStore()),
        datagrams=datagrams,
        clock=clock,
        lease=Lease(clock),
        target=world.state,
        holder=lambda: holder,
        load=Load,
        is_active=lambda: False,
        claim=lambda: None,
        pull=lambda _member, _version: None,
        on_event=lambda _event, _fields: None,
    )
    reporter._report()
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
