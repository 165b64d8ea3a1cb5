"""Tests of assignment and balancing of ranges, and of key rates."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from burdockgap.shards.control_state import ControlState
from burdockgap.shards.key_rates import KeyRates
from burdockgap.shards.planner import Server, assign_unowned, balance
from burdockgap.shards.shard import KEY_COUNT, Shard, find, merge_adjacent

SERVICE = "records"


def make_servers(count, *, capacity=50.0):
    return {
        f"m{index}": Server(
            name=f"m{index}", born=index + 1, capacity=capacity
        )
        for index in range(count)
    }


def make_rates(rates):
    result = KeyRates(0.0, KEY_COUNT)
    for key, rate in rates.items():
        result.add(2 * rate, [key])  # counts decay over about 2 s
    return result


def assert_covers_all_keys(rows):
    assert rows[0].first == 0
    assert rows[-1].last == KEY_COUNT - 1
    for before, after in itertools.pairwise(rows):
        assert after.first == before.last + 1


def test_first_assignment_covers_all_keys():
    state = ControlState()
    assert assign_unowned(
        state, SERVICE, make_servers(5), make_rates({}), gone=set()
    )
    rows = state.shards[SERVICE]
    assert_covers_all_keys(rows)
    assert {row.owner for row in rows} == set(make_servers(5))
    assert all(not row.previous for row in rows)


def test_assignment_without_servers_changes_nothing():
    state = ControlState()
    assert not assign_unowned(state, SERVICE, {}, make_rates({}), gone=set())
    assert SERVICE not in state.shards


@pytest.mark.parametrize(
    ("gone", "previous"),
    [
        pytest.param(set(), (("m0", 1),), id="owner-may-hold"),
        pytest.param({("m0", 1)}, (), id="owner-gone"),
    ],
)
def test_failed_owner_must_release_unless_gone(gone, previous):
    state = ControlState(
        next_fence=2,
        shards={
            SERVICE: [Shard(0, KEY_COUNT - 1, owner="m0", born=1, fence=1)],
        },
    )
    servers = make_servers(3)
    del servers["m0"]
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=gone)
    rows = state.shards[SERVICE]
    assert_covers_all_keys(rows)
    assert all(row.previous == previous for row in rows)
    assert all(row.fence > 1 for row in rows)


def test_restarted_owner_gets_a_new_fence():
    state = ControlState(
        next_fence=8,
        shards={
            SERVICE: [Shard(0, KEY_COUNT - 1, owner="m0", born=1, fence=7)]
        },
    )
    servers = {"m0": Server(name="m0", born=2, capacity=10.0)}
    assert assign_unowned(
        state, SERVICE, servers, make_rates({}), gone={("m0", 1)}
    )
    (row,) = state.shards[SERVICE]
    assert (row.owner, row.born, row.fence) == ("m0", 2, 8)


def test_balance_splits_a_hot_range():
    state = ControlState()
    servers = make_servers(4)
    rates = make_rates(dict.fromkeys(range(100, 160), 1.0))
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    for _ in range(4):
        balance(state, SERVICE, servers, rates)
        for row in state.shards[SERVICE]:
            row.previous = ()
    assert_covers_all_keys(state.shards[SERVICE])
    load = dict.fromkeys(servers, 0)
    for key in range(100, 160):
        load[find(state.shards[SERVICE], key).owner] += 1
    assert max(load.values()) <= 25


def test_balance_does_not_move_a_single_hot_key():
    state = ControlState()
    servers = make_servers(2)
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    before = find(state.shards[SERVICE], 5).owner
    balance(state, SERVICE, servers, make_rates({5: 200.0}))
    assert find(state.shards[SERVICE], 5).owner == before


def test_balance_makes_no_moves_between_idle_servers():
    state = ControlState()
    servers = make_servers(3, capacity=1000.0)
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    rates = make_rates(dict.fromkeys(range(50), 2.0))
    assert balance(state, SERVICE, servers, rates) == 0


def test_pending_range_is_not_moved_again():
    state = ControlState()
    servers = make_servers(2)
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    for row in state.shards[SERVICE]:
        row.previous = (("m9", 1),)
    rates = make_rates(dict.fromkeys(range(50), 5.0))
    assert balance(state, SERVICE, servers, rates) == 0


def test_merge_adjacent_uses_the_higher_fence():
    rows = merge_adjacent(
        [
            Shard(0, 9, owner="a", born=1, fence=3),
            Shard(10, 19, owner="a", born=1, fence=5),
        ]
    )
    assert [(row.first, row.last, row.fence) for row in rows] == [(0, 19, 5)]


@pytest.mark.parametrize(
    "other",
    [
        pytest.param({"owner": "b"}, id="other-owner"),
        pytest.param({"born": 2}, id="other-life"),
        pytest.param({"previous": (("c", 1),)}, id="pending"),
    ],
)
def test_merge_adjacent_keeps_different_owners_apart(other):
    fields = {"owner": "a", "born": 1, "fence": 3, **other}
    rows = [Shard(0, 9, owner="a", born=1, fence=3), Shard(10, 19, **fields)]
    assert len(merge_adjacent(rows)) == 2


@given(st.integers(0, KEY_COUNT - 1))
def test_find_any_key(key):
    state = ControlState()
    assign_unowned(state, SERVICE, make_servers(7), make_rates({}), gone=set())
    shard = state.find(SERVICE, key)
    assert shard.first <= key <= shard.last


class Assignment(RuleBasedStateMachine):
    """Servers join, leave and restart while the hot keys change."""

    def __init__(self):
        super().__init__()
        self.state = ControlState()
        self.servers = make_servers(3)
        self.rates = make_rates({})
        self.born = 100
        self.highest = {}

    def plan(self, gone=frozenset()):
        self.state = ControlState.decode(self.state.successor().encode())
        before = [
            (row.first, row.last, row.owner, row.born, row.fence)
            for row in self.state.shards.get(SERVICE, [])
        ]
        assign_unowned(
            self.state, SERVICE, self.servers, self.rates, gone=set(gone)
        )
        if self.servers:
            balance(self.state, SERVICE, self.servers, self.rates)
        rows = self.state.shards.get(SERVICE, [])
        self.state.shards[SERVICE] = merge_adjacent(rows)
        self.assert_fences_increase(before)

    def assert_fences_increase(self, before):
        for row in self.state.shards[SERVICE]:
            for first, last, owner, born, fence in before:
                if last < row.first or first > row.last:
                    continue
                if (owner, born) != (row.owner, row.born):
                    assert row.fence > fence
                else:
                    assert row.fence >= fence

    @rule(number=st.integers(0, 5))
    def join(self, number):
        self.born += 1
        name = f"m{number}"
        self.servers[name] = Server(name=name, born=self.born, capacity=50.0)
        self.plan()

    @rule(number=st.integers(0, 5), is_gone=st.booleans())
    def leave(self, number, is_gone):
        server = self.servers.pop(f"m{number}", None)
        if server is not None:
            owner = (server.name, server.born)
            self.plan({owner} if is_gone else set())

    @rule(start=st.integers(0, KEY_COUNT - 200), rate=st.floats(0.5, 4.0))
    def set_hot_keys(self, start, rate):
        self.rates = make_rates({start + 3 * step: rate for step in range(60)})
        self.plan()

    @rule()
    def clear(self):
        for row in self.state.shards.get(SERVICE, []):
            row.previous = ()

    @invariant()
    def every_key_has_one_owner(self):
        if self.state.shards.get(SERVICE):
            assert_covers_all_keys(self.state.shards[SERVICE])

    @invariant()
    def fences_stay_below_the_next(self):
        for row in self.state.shards.get(SERVICE, []):
            assert row.fence < self.state.next_fence


TestAssignment = Assignment.TestCase


def test_balance_skips_a_server_without_a_movable_range():
    servers = make_servers(4)
    state = ControlState()
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    rows = state.shards[SERVICE]
    hot, second = rows[0], rows[1]
    hot.previous = (("m9", 1),)
    rates = make_rates(
        {
            hot.first: 40.0,
            hot.first + 9: 40.0,
            second.first: 20.0,
            second.first + 9: 20.0,
        }
    )
    assert balance(state, SERVICE, servers, rates) >= 1
    moved = [row for row in state.shards[SERVICE] if row.fence > 4]
    assert second.owner in {row.previous[0][0] for row in moved}


@pytest.mark.parametrize(
    ("count", "least"),
    [pytest.param(5, 3, id="few"), pytest.param(40, 8, id="many")],
)
def test_balance_move_limit_grows_with_the_servers(count, least):
    servers = make_servers(count)
    state = ControlState()
    assign_unowned(state, SERVICE, servers, make_rates({}), gone=set())
    busy = {}
    for row in state.shards[SERVICE][: count // 2]:
        busy.update({row.first + step: 12.0 for step in range(4)})
    moves = balance(state, SERVICE, servers, make_rates(busy))
    assert least <= moves <= max(count // 4, 3)


def test_rates_decay_slower_with_many_servers():
    rates = KeyRates(0.0, KEY_COUNT)
    for step in range(1, 40):
        rates.add(10, list(range(10)))
        rates.decay(step * 0.1, servers=40)
    before = rates.range_rate(0, 9)
    rates.decay(3.9 + 1.2, servers=40)
    assert rates.range_rate(0, 9) > before * 0.6


def test_rates_are_not_underestimated_at_the_start():
    rates = KeyRates(0.0, KEY_COUNT)
    for step in range(1, 21):
        rates.add(10, list(range(10)))
        rates.decay(step * 0.1, servers=40)
    assert rates.range_rate(0, 9) > 100 * 0.6
