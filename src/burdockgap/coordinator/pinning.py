"""Choice of the keys that become units of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.coordinator.move import Move
from burdockgap.ownership.unit import pin_of, slice_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockgap.fold.unit_table import UnitTable

_COOL_FACTOR = 0.25
_HOT_RATE_MIN_PER_S = 10.0
_HASH_MASK = (1 << 63) - 1


def choose_pins(
    table: UnitTable,
    rates: Mapping[int, float],
    *,
    total: float,
    share: float,
    limit: int,
) -> list[int]:
    """
    Return the unit ids of keys to pin, the hottest first.

    :param rates: requests a second of the busiest keys, by hash.
    :param total: requests a second of the whole service.
    :param share: share of ``total`` from which a key is hot.
    :param limit: largest number of pins of the service.
    """
    room = limit - len(table.pins())
    hot = sorted(
        (
            key
            for key, rate in rates.items()
            if rate >= max(share * total, _HOT_RATE_MIN_PER_S)
            and not table.has_unit(pin_of(key))
            and table.owner(slice_of(key, table.slices))
        ),
        key=lambda key: rates[key],
        reverse=True,
    )
    return [pin_of(key) for key in hot[: max(room, 0)]]


def choose_cooled(
    table: UnitTable,
    rates: Mapping[int, float],
    *,
    total: float,
    share: float,
) -> list[int]:
    """Return pinned units that are hot no more."""
    hot_rate = max(share * total, _HOT_RATE_MIN_PER_S)
    return [
        pin
        for pin in table.pins()
        if rates.get(pin & _HASH_MASK, 0.0) < _COOL_FACTOR * hot_rate
    ]


def moves_home(table: UnitTable, cooled: list[int]) -> list[Move]:
    """Return moves of cooled pins to the owners of their slices."""
    moves = []
    for pin in cooled:
        home = table.owner(slice_of(pin, table.slices))
        if home and home != table.owner(pin):
            moves.append(Move(unit=pin, owner=home))
    return moves


def may_unpin(table: UnitTable, pin: int) -> bool:
    """Tell whether a pin is held as its slice is, for certain."""
    parent = slice_of(pin, table.slices)
    return (
        table.owner(pin) == table.owner(parent)
        and not table.earlier_holders(pin)
        and not table.earlier_holders(parent)
    )
