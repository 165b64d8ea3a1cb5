"""Tests of the changes between two revisions of the control state."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.fleet.datagrams import CHANGES
from burdockgap.shards.control_changes import ControlChanges
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.shard import KEY_COUNT, Shard, merge_adjacent
from burdockgap.wire.compression import compress
from tests.shards.builders import SERVICE
from tests.shards.fakes import FakeStore
from tests.shards.test_coordinator import NAMES, CoordinatorHarness


def make_state(edges, *, revision=1, owners=("a", "b")):
    """Return a state whose ranges begin at the given keys."""
    edges = [0, *sorted(set(edges) - {0}), KEY_COUNT]
    rows = [
        Shard(
            first,
            after - 1,
            owner=owners[index % len(owners)],
            born=1,
            fence=index + 1,
        )
        for index, (first, after) in enumerate(itertools.pairwise(edges))
    ]
    return ControlState(
        term=1, revision=revision, next_fence=99, shards={SERVICE: rows}
    )


def canonical_bytes(state):
    return ControlState.decode(state.encode()).encode()


edges = st.lists(st.integers(1, KEY_COUNT - 1), max_size=12)


@given(edges, edges)
def test_changes_lead_to_the_same_state(before_edges, after_edges):
    before = make_state(before_edges)
    after = make_state(after_edges, revision=2, owners=("b", "c"))
    changes = ControlChanges.between(before, after)
    result = ControlChanges.decode(changes.encode()).apply_to(before)
    assert canonical_bytes(result) == canonical_bytes(after)


@given(edges, st.integers(1, KEY_COUNT - 1))
def test_changes_of_joined_ranges(before_edges, edge):
    before = make_state([*before_edges, edge], owners=("a",))
    after = before.successor()
    after.shards[SERVICE] = merge_adjacent(before.shards[SERVICE])
    changes = ControlChanges.between(before, after)
    assert canonical_bytes(changes.apply_to(before)) == canonical_bytes(after)


@pytest.mark.parametrize(
    ("term", "revision"),
    [
        pytest.param(1, 2, id="known-already"),
        pytest.param(1, 0, id="one-is-missing"),
        pytest.param(2, 1, id="another-term"),
    ],
)
def test_changes_for_another_revision_are_not_applied(term, revision):
    before = make_state([100])
    known = make_state([100])
    known.term, known.revision = term, revision
    after = make_state([200], revision=2)
    assert ControlChanges.between(before, after).apply_to(known) is None


def test_changes_of_a_claim_lead_to_the_next_term():
    before = make_state([100])
    after = before.successor()
    after.term, after.coordinator, after.incarnation = 4, "c", 99
    changes = ControlChanges.decode(
        ControlChanges.between(before, after).encode()
    )
    assert canonical_bytes(changes.apply_to(before)) == canonical_bytes(after)


def test_changes_that_leave_a_gap_are_not_applied():
    before = make_state([100])
    changes = ControlChanges(
        base=(1, 1),
        term=1,
        revision=2,
        coordinator="a",
        incarnation=1,
        voters=(),
        next_fence=9,
        shards={SERVICE: [Shard(50, 60, owner="b", born=1, fence=8)]},
        generation=0,
    )
    assert changes.apply_to(before) is None


@pytest.mark.parametrize("pack", [bytes, compress])
@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x90", b"\x95\x01\x01\x90\x01\x05"]
)
def test_changes_malformed_data_is_rejected(data, pack):
    with pytest.raises(ValueError, match="malformed control changes"):
        ControlChanges.decode(pack(data))


@pytest.mark.parametrize("voters", [(), ("a", "b"), ("a", "b", "c")])
def test_changes_lead_to_the_same_voters(voters):
    before = make_state([100])
    before.voters = ("a", "b")
    after = before.successor()
    after.voters = voters
    changes = ControlChanges.between(before, after)
    result = ControlChanges.decode(changes.encode()).apply_to(before)
    assert result.voters == voters


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_coordinator_broadcasts_changes():
    harness = CoordinatorHarness()
    await harness.coordinator.claim(0.0)
    before = harness.view.state
    await harness.advance(1.0, *NAMES)
    sent = [
        values[0]
        for _address, kind, values in harness.datagrams.sent
        if kind == CHANGES
    ]
    state = before
    for data in sent[::2]:
        state = ControlChanges.decode(data).apply_to(state)
    assert canonical_bytes(state) == canonical_bytes(harness.view.state)
    assert len(sent) == 2 * (harness.view.state.revision - before.revision)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_claim_is_broadcast():
    """Otherwise each member would fetch the whole state."""
    store = FakeStore()
    old, new = CoordinatorHarness(store), CoordinatorHarness(store, own="b")
    await old.coordinator.claim(0.0)
    await old.advance(1.0, *NAMES)
    before = old.view.state
    await new.coordinator.claim(0.0)
    assert await new.coordinator.claim(0.0)
    sent = [
        values[0]
        for _address, kind, values in new.datagrams.sent
        if kind == CHANGES
    ]
    state = ControlChanges.decode(sent[0]).apply_to(before)
    assert (state.term, state.coordinator) == (2, "b")
    assert len(sent) == 2
