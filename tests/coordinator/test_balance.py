from __future__ import annotations

import math
from types import SimpleNamespace

import pytest

from burdockgap.coordinator.balance import Balancer
from burdockgap.fold.unit_table import UnitTable

SLICES = 64


def make_roster(eligible, replacement=None):
    return SimpleNamespace(
        eligible=list(eligible), replacement=replacement or {}
    )


def make_table(owners):
    """Return a table with its slices assigned round-robin."""
    table = UnitTable(SLICES)
    for unit in range(SLICES):
        table.assign(unit, owners[unit % len(owners)], 0)
    return table


def make_balancer(table, eligible, *, weights=None, replacement=None):
    return Balancer(
        table=table,
        roster=make_roster(eligible, replacement),
        weights=weights or {},
        base_weight=1.0,
    )


def apply(table, moves):
    for move in moves:
        table.assign(move.unit, move.owner, 0)


def counts(table, sessions):
    return [len(table.units_of(session)) for session in sessions]


@pytest.mark.parametrize("servers", [1, 3, 5])
def test_required_spreads_unowned_units(servers):
    table = UnitTable(SLICES)
    eligible = range(1, servers + 1)
    apply(table, make_balancer(table, eligible).required())
    owned = counts(table, eligible)
    assert sum(owned) == SLICES
    assert max(owned) - min(owned) <= 1


def test_required_moves_only_units_of_ineligible():
    table = make_table([1, 2, 3, 4])
    moves = make_balancer(table, [1, 2, 3]).required()
    assert {move.unit for move in moves} == set(table.units_of(4))


def test_required_moves_all_units_to_replacement():
    table = make_table([1, 2])
    moves = make_balancer(table, [2, 9], replacement={1: 9}).required()
    assert {move.unit for move in moves} == set(table.units_of(1))
    assert {move.owner for move in moves} == {9}


def test_required_without_eligible_sessions():
    assert make_balancer(make_table([1]), []).required() == []


@pytest.mark.parametrize("servers", [3, 5, 16])
def test_improving_fills_new_server_with_least_moves(servers):
    old = list(range(1, servers + 1))
    table = make_table(old)
    balancer = make_balancer(table, [*old, 99])
    moves = balancer.improving(limit=1.25, max_moves=SLICES)
    apply(table, moves)
    least = SLICES / (servers + 1)
    assert math.floor(least) <= len(moves) <= math.ceil(least)
    assert {move.owner for move in moves} == {99}


def test_improving_leaves_small_imbalance_alone():
    table = make_table([1, 2, 3, 4, 5])
    balancer = make_balancer(table, [1, 2, 3, 4, 5])
    assert balancer.improving(limit=1.25, max_moves=SLICES) == []


def test_improving_respects_cap():
    table = make_table([1])
    balancer = make_balancer(table, [1, 2])
    assert len(balancer.improving(limit=1.25, max_moves=3)) == 3


def test_improving_lowers_imbalance_of_load():
    table = make_table([1, 2, 3, 4])
    weights = {unit: 1000.0 / (unit + 1) for unit in range(SLICES)}
    balancer = make_balancer(table, [1, 2, 3, 4], weights=weights)
    before = balancer.imbalance()
    moves = balancer.improving(limit=1.1, max_moves=SLICES)
    assert balancer.imbalance() < before
    apply(table, moves)
    after = make_balancer(table, [1, 2, 3, 4], weights=weights).imbalance()
    assert after == pytest.approx(balancer.imbalance())
