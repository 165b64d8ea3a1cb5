from __future__ import annotations

import pytest

from burdockgap.coordinator.pinning import (
    choose_cooled,
    choose_pins,
    may_unpin,
    moves_to_slice_owner,
)
from burdockgap.fold.unit_table import UnitTable
from burdockgap.ownership.unit import hash_key, pin_of

HOT = hash_key("hot")
WARM = hash_key("warm")


@pytest.fixture
def table():
    table = UnitTable(8)
    for unit in range(8):
        table.assign(unit, 1, 0)
    return table


def test_choose_pins_takes_hottest_first(table):
    rates = {HOT: 300.0, WARM: 200.0}
    pins = choose_pins(table, rates, total=1000.0, share=0.1, limit=1)
    assert pins == [pin_of(HOT)]


@pytest.mark.parametrize(
    ("rate", "total"),
    [
        pytest.param(90.0, 1000.0, id="small-share"),
        pytest.param(5.0, 6.0, id="little-traffic"),
    ],
)
def test_choose_pins_below_bounds(table, rate, total):
    rates = {HOT: rate}
    assert not choose_pins(table, rates, total=total, share=0.1, limit=9)


def test_choose_pins_of_unowned_slice():
    empty = UnitTable(8)
    rates = {HOT: 300.0}
    assert not choose_pins(empty, rates, total=500.0, share=0.1, limit=9)


def test_cooled_pin_moves_to_slice_owner_before_unpin(table):
    pin = pin_of(HOT)
    table.add_pin(pin)
    table.assign(pin, 2, 0)
    cooled = choose_cooled(table, {}, total=1000.0, share=0.1)
    assert cooled == [pin]
    moves = moves_to_slice_owner(table, cooled)
    assert [(move.unit, move.owner) for move in moves] == [(pin, 1)]
    assert not may_unpin(table, pin)
    table.assign(pin, 1, 0)
    assert not may_unpin(table, pin)
    table.confirm_activation(pin, table.epoch(pin))
    assert may_unpin(table, pin)
    assert moves_to_slice_owner(table, cooled) == []


def test_hot_pin_stays(table):
    table.add_pin(pin_of(HOT))
    rates = {HOT: 50.0}
    assert choose_cooled(table, rates, total=1000.0, share=0.1) == []
