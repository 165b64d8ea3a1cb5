"""Claims, leases and what a lost owner's keys wait for."""

from __future__ import annotations

import pytest

from burdockgap.fleet.datagrams import LEASE, REPORT
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.coordinator import Coordinator
from burdockgap.shards.lease import AUTHORITY_S, LEASE_S
from burdockgap.shards.reports import TARGET_UNKNOWN
from tests.gate.fakes import FakeClock
from tests.shards.builders import SERVICE, make_report
from tests.shards.fakes import FakeDatagrams, FakeStore, make_roster

NAMES = ("a", "b", "c")

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class World:
    """A coordinator at member ``a`` with ``b`` and ``c`` reporting."""

    def __init__(self, store=None, own="a"):
        self.clock = FakeClock()
        self.store = store or FakeStore()
        self.datagrams = FakeDatagrams()
        self.view = ControlView(lambda: None)
        self.born = dict.fromkeys(NAMES, 1)
        self.out = set()
        others = [name for name in NAMES if name != own]
        self.coordinator = Coordinator(
            roster=make_roster(own, others),
            view=self.view,
            store=ControlStore(self.store),
            datagrams=self.datagrams,
            clock=self.clock,
            keyed_services=lambda: {SERVICE},
            data_centres_out=lambda: self.out,
            on_event=lambda _event, _fields: None,
        )

    def report(self, *names: str, **fields):
        for name in names:
            report = make_report(
                name,
                term=self.coordinator.term,
                revision=self.view.state.revision,
                echo=self.clock.now(),
                born=self.born[name],
                **fields,
            )
            self.datagrams.handlers[REPORT](report.values())

    def lease_s(self):
        """Return the length of the lease that was sent last."""
        _address, kind, values = self.datagrams.sent[-1]
        assert kind == LEASE
        return values[-1]

    async def steps(self, seconds, *names: str, **fields):
        end = self.clock.seconds + seconds
        while self.clock.seconds < end:
            self.clock.seconds += 0.1
            self.report(*names, **fields)
            await self.coordinator._tick()

    def owners(self):
        return {row.owner for row in self.view.state.shards.get(SERVICE, [])}


async def test_claim_and_first_assignment():
    world = World()
    assert await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    assert world.owners() == set(NAMES)
    assert world.store.state.revision == world.view.state.revision


async def test_claim_lost_race_follows_the_other():
    store = FakeStore()
    first, second = World(store), World(store, own="b")
    assert await first.coordinator.claim()
    assert not await second.coordinator.claim()
    assert second.view.state.coordinator == "a"
    assert not second.coordinator.is_active


async def test_claim_lost_reply_is_taken_up():
    world = World()
    world.store.loses_replies = True
    assert not await world.coordinator.claim()
    world.store.loses_replies = False
    assert await world.coordinator.claim()
    assert world.view.state.term == 1


async def test_deposed_coordinator_cannot_write():
    store = FakeStore()
    old, new = World(store), World(store, own="b")
    await old.coordinator.claim()
    await old.steps(1.0, *NAMES)
    await new.coordinator.claim()
    assert await new.coordinator.claim()
    revision = store.state.revision
    old.born["c"] = 7
    await old.steps(0.3, *NAMES)
    assert store.state.revision == revision
    assert old.view.state.coordinator == "b"


async def test_lease_needs_a_majority():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    assert 0 < world.lease_s() <= LEASE_S
    world.clock.seconds += AUTHORITY_S + 0.1
    report = make_report("b", term=1, echo=0.0)
    world.datagrams.handlers[REPORT](report.values())
    assert world.lease_s() == 0.0


async def test_lost_owner_keeps_keys_until_its_lease_has_run_out():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    assert "c" in world.owners()
    await world.steps(LEASE_S - 0.1, "a", "b")
    assert "c" in world.owners()
    await world.steps(2.0, "a", "b")
    assert world.owners() == {"a", "b"}
    assert all(not row.previous for row in world.view.state.shards[SERVICE])


async def test_new_coordinator_waits_for_leases_of_the_earlier_one():
    store = FakeStore()
    old, new = World(store), World(store, own="b")
    await old.coordinator.claim()
    await old.steps(1.0, *NAMES)
    await new.coordinator.claim()
    assert await new.coordinator.claim()
    await new.steps(AUTHORITY_S, "a", "b")
    assert "c" in new.owners()
    await new.steps(1.0, "a", "b")
    assert new.owners() == {"a", "b"}


async def test_new_life_of_a_target_holds_nothing():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    fences = {row.fence for row in world.view.state.shards[SERVICE]}
    world.born["c"] = 9
    await world.steps(0.3, *NAMES)
    rows = world.view.state.shards[SERVICE]
    new = [row for row in rows if row.fence not in fences]
    assert new
    assert all(not row.previous for row in new)


async def test_leaving_target_is_asked_to_let_go():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    world.report("c", takes_work=False)
    await world.coordinator._tick()
    rows = world.view.state.shards[SERVICE]
    moved = [row for row in rows if row.previous]
    assert moved
    assert all(row.previous[0][0] == "c" for row in moved)


async def test_data_centre_out_last_servers_keep_keys():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    before = world.view.state.revision
    world.out = {"dc1"}
    await world.steps(1.0, *NAMES)
    assert world.view.state.revision == before


async def test_refused_by_the_store_resigns():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    assert not world.coordinator.is_resigning
    world.store.fails = True
    newer = world.view.state.successor()
    newer.term = 2
    world.coordinator._failing_since = world.clock.now()
    world.clock.seconds += 1.0
    assert world.coordinator.is_resigning
    world.view.adopt(newer)
    assert not world.coordinator.is_resigning


def test_control_state_garbage_is_refused():
    with pytest.raises(ValueError, match="malformed control state"):
        ControlState.decode(b"\xc1\x00")


async def test_restarted_daemon_that_knows_no_target_yet_is_awaited():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    revision = world.view.state.revision
    world.born["c"] = TARGET_UNKNOWN
    for _ in range(10):
        world.report("c", takes_work=False)
        await world.steps(0.1, "a", "b")
    assert world.view.state.revision == revision
    assert "c" in world.owners()


async def test_voters_shrink_once_when_the_majority_is_lost():
    world = World()
    await world.coordinator.claim()
    await world.steps(6.0, *NAMES)
    revision = world.view.state.revision
    await world.steps(4.0, "a")
    assert world.view.state.voters == ("a",)
    changes = world.view.state.revision - revision
    assert changes <= 3
    await world.steps(1.0, *NAMES)
    assert world.view.state.voters == NAMES


async def test_range_refused_as_too_low_gets_a_higher_token():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, *NAMES)
    rows = world.view.state.shards[SERVICE]
    low = next(row for row in rows if row.owner == "b")
    highest = max(row.fence for row in rows)
    world.report("b", rejected=[[low.first, low.last, low.fence]])
    await world.coordinator._tick()
    rows = world.view.state.shards[SERVICE]
    again = next(row for row in rows if row.first == low.first)
    assert (again.owner, again.last) == ("b", low.last)
    assert again.fence > highest
    revision = world.view.state.revision
    world.report("b", rejected=[[low.first, low.last, low.fence]])
    await world.coordinator._tick()
    assert world.view.state.revision == revision


async def test_first_assignment_waits_for_targets_that_are_not_up_yet():
    world = World()
    await world.coordinator.claim()
    await world.steps(1.0, "a", "b")
    assert world.owners() == set()
    await world.steps(0.3, *NAMES)
    assert world.owners() == set(NAMES)


async def test_first_assignment_does_not_wait_for_ever():
    world = World()
    await world.coordinator.claim()
    world.born["c"] = 0
    await world.steps(4.0, *NAMES)
    assert world.owners() == {"a", "b"}
