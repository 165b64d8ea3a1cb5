"""Tests of claims, leases and the reassignment of keys."""

from __future__ import annotations

import msgpack
import pytest

from burdockgap.fleet.datagrams import LEASE, REPORT
from burdockgap.metadata.store_error import WriteConflict
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.coordinator import Coordinator
from burdockgap.shards.lease import AUTHORITY_S, LEASE_S
from burdockgap.shards.reports import TARGET_UNKNOWN
from tests.gate.fakes import FakeClock
from tests.shards.builders import SERVICE, make_member, make_report
from tests.shards.fakes import FakeDatagrams, FakeStore, make_roster

NAMES = ("a", "b", "c")

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class CoordinatorHarness:
    """A coordinator, by default at ``a``, with ``b`` and ``c``."""

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
        """Return the duration of the lease that was sent last."""
        _address, kind, values = self.datagrams.sent[-1]
        assert kind == LEASE
        return values[-1]

    async def advance(self, seconds, *names: str, **fields):
        end = self.clock.seconds + seconds
        while self.clock.seconds < end:
            self.clock.seconds += 0.1
            self.report(*names, **fields)
            await self.coordinator._tick()

    def owners(self):
        return {row.owner for row in self.view.state.shards.get(SERVICE, [])}


async def test_claim_and_first_assignment():
    harness = CoordinatorHarness()
    assert await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assert harness.owners() == set(NAMES)
    assert harness.store.state.revision == harness.view.state.revision


async def test_claim_lost_race_adopts_the_winner():
    store = FakeStore()
    first, second = (
        CoordinatorHarness(store),
        CoordinatorHarness(store, own="b"),
    )
    assert await first.coordinator.claim(0.0)
    assert not await second.coordinator.claim(0.0)
    assert second.view.state.coordinator == "a"
    assert not second.coordinator.is_active


async def test_claim_with_lost_reply_succeeds_on_retry():
    harness = CoordinatorHarness()
    harness.store.drops_replies = True
    assert not await harness.coordinator.claim(0.0)
    harness.store.drops_replies = False
    assert await harness.coordinator.claim(0.0)
    assert harness.view.state.term == 1


# OWNER: a later attempt by other means said nothing of earlier leases,
# though the first one had taken effect.
async def test_claim_with_lost_reply_keeps_its_start():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    new.view.adopt(old.view.state)
    new.clock.seconds = old.clock.seconds
    value, end = store.copy()
    store.drops_replies = True
    assert not await new.coordinator.claim(0.0)
    late, late_end = store.copy()
    # The claim takes effect only after another one was planned.
    store.value, store.end = value, end
    for entry in new.coordinator._roster._entries.values():
        entry.heard_at -= 60.0
    new.coordinator._takeover_wait._unchanged_since = 0.0
    assert not await new.coordinator.claim(0.0)
    store.value, store.end = late, late_end
    store.drops_replies = False
    assert await new.coordinator.claim(0.0)
    assert not new.coordinator._authority.are_earlier_leases_expired(
        new.clock.now() + 0.1
    )


async def test_deposed_coordinator_cannot_write():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    await new.coordinator.claim(0.0)
    assert await new.coordinator.claim(0.0)
    revision = store.state.revision
    old.born["c"] = 7
    await old.advance(0.3, *NAMES)
    assert store.state.revision == revision
    assert old.view.state.coordinator == "b"


async def test_lease_needs_a_majority():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assert 0 < harness.lease_s() <= LEASE_S
    harness.clock.seconds += AUTHORITY_S + 0.1
    report = make_report("b", term=1, echo=0.0)
    harness.datagrams.handlers[REPORT](report.values())
    assert harness.lease_s() == 0.0


async def test_silent_owner_keeps_keys_until_lease_expires():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assert "c" in harness.owners()
    await harness.advance(LEASE_S - 0.1, "a", "b")
    assert "c" in harness.owners()
    await harness.advance(2.0, "a", "b")
    assert harness.owners() == {"a", "b"}
    assert all(not row.previous for row in harness.view.state.shards[SERVICE])


async def test_new_coordinator_waits_for_leases_of_the_earlier_one():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    await new.coordinator.claim(0.0)
    assert await new.coordinator.claim(0.0)
    await new.advance(AUTHORITY_S, "a", "b")
    assert "c" in new.owners()
    await new.advance(1.0, "a", "b")
    assert new.owners() == {"a", "b"}


async def test_restarted_target_holds_nothing():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    fences = {row.fence for row in harness.view.state.shards[SERVICE]}
    harness.born["c"] = 9
    await harness.advance(0.3, *NAMES)
    rows = harness.view.state.shards[SERVICE]
    new = [row for row in rows if row.fence not in fences]
    assert new
    assert all(not row.previous for row in new)


async def test_leaving_target_is_asked_to_release():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    harness.report("c", takes_work=False)
    await harness.coordinator._tick()
    rows = harness.view.state.shards[SERVICE]
    moved = [row for row in rows if row.previous]
    assert moved
    assert all(row.previous[0][0] == "c" for row in moved)


async def test_data_centre_out_keeps_keys_at_last_servers():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    before = harness.view.state.revision
    harness.out = {"dc1"}
    await harness.advance(1.0, *NAMES)
    assert harness.view.state.revision == before


async def test_coordinator_resigns_if_the_store_refuses_writes():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assert not harness.coordinator.is_resigning
    harness.store.fails = True
    newer = harness.view.state.successor()
    newer.term = 2
    harness.coordinator._failing_since = harness.clock.now()
    harness.clock.seconds += 1.0
    assert harness.coordinator.is_resigning
    harness.view.adopt(newer)
    assert not harness.coordinator.is_resigning


def test_control_state_malformed_data_is_rejected():
    with pytest.raises(ValueError, match="malformed control state"):
        ControlState.decode(b"\xc1\x00")


async def test_restarted_daemon_without_known_target_keeps_keys():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    revision = harness.view.state.revision
    harness.born["c"] = TARGET_UNKNOWN
    for _ in range(10):
        harness.report("c", takes_work=False)
        await harness.advance(0.1, "a", "b")
    assert harness.view.state.revision == revision
    assert "c" in harness.owners()


async def test_voters_shrink_once_after_loss_of_the_majority():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(6.0, *NAMES)
    revision = harness.view.state.revision
    await harness.advance(6.0, "a")
    assert harness.view.state.voters == ("a",)
    changes = harness.view.state.revision - revision
    assert changes <= 3
    await harness.advance(1.0, *NAMES)
    assert harness.view.state.voters == NAMES


async def test_range_with_rejected_token_gets_a_higher_one():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    rows = harness.view.state.shards[SERVICE]
    low = next(row for row in rows if row.owner == "b")
    highest = max(row.fence for row in rows)
    harness.report("b", unusable=[[low.first, low.last, low.fence]])
    await harness.coordinator._tick()
    rows = harness.view.state.shards[SERVICE]
    again = next(row for row in rows if row.first == low.first)
    assert (again.owner, again.last) == ("b", low.last)
    assert again.fence > highest
    revision = harness.view.state.revision
    harness.report("b", unusable=[[low.first, low.last, low.fence]])
    await harness.coordinator._tick()
    assert harness.view.state.revision == revision


async def test_first_assignment_waits_for_known_targets():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, "a", "b")
    assert harness.owners() == set()
    await harness.advance(0.3, *NAMES)
    assert harness.owners() == set(NAMES)


async def test_first_assignment_waits_for_a_limited_time():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    harness.born["c"] = 0
    await harness.advance(4.0, *NAMES)
    assert harness.owners() == {"a", "b"}


async def lose_moves(harness):
    """Return a copy of the store, and the highest token used since."""
    copy = harness.store.copy()
    for born in range(10, 14):
        harness.born["c"] = born
        await harness.advance(0.3, *NAMES)
    rows = harness.view.state.shards[SERVICE]
    return copy, max(row.fence for row in rows)


# OWNER: a coordinator that claimed its role after the store had
# returned from an older copy gave out fencing tokens a second time.
async def test_tokens_after_a_restore_exceed_those_that_the_store_lost():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    copy, highest = await lose_moves(old)
    store.restore(copy)
    del new.coordinator._roster._entries["a"]
    while not await new.coordinator.claim(0.0):
        assert new.view.state.term <= old.view.state.term
    rows = new.view.state.shards[SERVICE]
    assert min(row.fence for row in rows) > highest
    assert new.view.state.term > old.view.state.term
    assert new.view.state.lineage != old.view.state.lineage


# OWNER: the copy may not name the owners whose leases still run.
@pytest.mark.parametrize("drops_reply", [False, True])
async def test_no_lease_after_a_recovery_until_earlier_ones_expired(
    drops_reply,
):
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    copy, _ = await lose_moves(old)
    store.restore(copy)
    del new.coordinator._roster._entries["a"]
    assert not await new.coordinator.claim(0.0)  # learns the stored state
    store.drops_replies = drops_reply
    await new.coordinator.claim(0.0)
    store.drops_replies = False
    if drops_reply:
        assert await new.coordinator.claim(0.0)
    for name in NAMES:
        new.coordinator._roster.record_announcement(make_member(name))
    await new.advance(AUTHORITY_S - 0.1, "a", "b")
    new.report("a")
    assert new.lease_s() == 0.0
    await new.advance(0.4, "a", "b")
    new.report("a")
    assert new.lease_s() > 0.0


async def test_coordinator_writes_its_state_again_to_a_restored_store():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    copy, _ = await lose_moves(harness)
    known = harness.view.state
    harness.store.restore(copy)
    await harness.advance(0.1, *NAMES)
    stored = harness.store.state
    assert (stored.term, stored.revision) == (known.term, known.revision + 1)
    assert stored.next_fence == known.next_fence
    assert stored.generation == 2
    harness.report("a")
    assert harness.lease_s() > 0.0
    await harness.advance(1.0, *NAMES)
    assert harness.store.state.revision == stored.revision


async def test_claim_after_a_restore_waits_for_the_coordinator():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    new.view.adopt(old.view.state)
    store.restore(store.copy())
    assert not await new.coordinator.claim(0.0)
    assert store.state.coordinator == "a"
    new.clock.seconds += 1.1
    assert await new.coordinator.claim(0.0)


async def test_all_state_lost_is_not_a_first_start():
    store = FakeStore()
    store.restore(store.copy())
    harness = CoordinatorHarness(store)
    assert await harness.coordinator.claim(0.0)
    await harness.advance(1.0, *NAMES)
    assert harness.lease_s() == 0.0
    await harness.advance(1.4, *NAMES)
    assert harness.lease_s() > 0.0
    assert harness.view.state.lineage == 1


async def test_late_write_does_not_meet_its_condition_by_chance():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    store = ControlStore(harness.store)
    state = await store.read()
    harness.store.restore(harness.store.copy())
    with pytest.raises(WriteConflict):
        await store.write(state.successor())


def test_control_state_of_an_earlier_version_is_read():
    values = msgpack.unpackb(ControlState(term=3, revision=4).encode())
    state = ControlState.decode(msgpack.packb(values[:7]))
    assert (state.version, state.generation) == ((3, 4), 0)


async def depose_and_lose_claim():
    """
    Depose ``a`` by a claim that a restore of the store then loses.

    :return: the coordinators ``a``, which has not heard of the claim,
        and ``b``.
    """
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    copy = store.copy()
    new.view.adopt(old.view.state)
    new.clock.seconds = old.clock.seconds
    await new.coordinator.claim(0.0)
    await new.advance(2.5, "b", "c")
    old.clock.seconds = new.clock.seconds
    store.restore(copy)
    return old, new


# OWNER: the copy does not show a later claim, so only a majority can
# confirm that a coordinator is still the only one.
async def test_coordinator_without_majority_does_not_write_a_lost_state():
    old, _ = await depose_and_lose_claim()
    known = old.store.state.version
    await old.advance(4.5, "a")
    old.report("a")
    assert old.lease_s() == 0.0
    await old.advance(4.0, "a")
    assert old.store.state.version == known


async def test_coordinator_without_majority_recovers_by_a_new_claim():
    old, _ = await depose_and_lose_claim()
    await old.advance(8.0, "a")
    assert not old.coordinator.is_active
    assert await old.coordinator.claim(0.0)
    assert old.view.state.lineage == 1


# OWNER: a write that was planned before the restore was repeated after
# it, although another coordinator may have acted in between.
async def test_write_is_not_repeated_on_a_restored_copy_without_majority():
    old, _ = await depose_and_lose_claim()
    planned = old.view.state.successor()
    assert await old.coordinator._resolve_failed_write(planned)


# OWNER: an outdated copy may name too few voters, and their majority
# says nothing about members that follow an earlier coordinator.
async def test_voters_after_a_recovery_include_all_known_members():
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    state = store.state
    state.voters = ("b",)
    new.view.adopt(state)
    store.restore((state.encode(), store.end))
    new.clock.seconds += 5.0
    while not await new.coordinator.claim(0.0):
        new.clock.seconds += 1.1
    assert set(new.view.state.voters) == set(NAMES)
    await new.advance(AUTHORITY_S + 1.0, "b")
    new.report("b")
    assert new.lease_s() == 0.0
