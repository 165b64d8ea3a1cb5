"""The assignment of one keyed service's units."""

from __future__ import annotations

import sys
from array import array
from collections import Counter
from typing import TYPE_CHECKING

from burdockgap.ownership.unit import is_pin, pin_of, slice_of

if TYPE_CHECKING:
    from collections.abc import Iterator

_EPOCH_STEP = 2
_ITEM_BYTES = 8


class UnitTable:
    """
    Owner, epoch and earlier holders of each unit of a service.

    Slices are kept in arrays; pins are few and kept in dicts. Earlier
    holders are kept only for units whose owner has not yet reported
    their activation.

    :param slices: number of slices, a power of two.
    """

    __slots__ = (
        "_earlier_holders",
        "_epochs",
        "_shared_holders",
        "_owners",
        "_pin_epochs",
        "_pin_owners",
        "slices",
    )

    def __init__(self, slices: int) -> None:
        self.slices = slices
        self._owners = array("Q", bytes(8 * slices))
        self._epochs = array("Q", bytes(8 * slices))
        self._pin_owners: dict[int, int] = {}
        self._pin_epochs: dict[int, int] = {}
        self._earlier_holders: dict[int, tuple[int, ...]] = {}
        self._shared_holders: dict[tuple[int, ...], tuple[int, ...]] = {}

    def unit_of(self, key_hash: int) -> int:
        """Return the unit that a key belongs to."""
        pin = pin_of(key_hash)
        if pin in self._pin_owners:
            return pin
        return slice_of(key_hash, self.slices)

    def has_unit(self, unit: int) -> bool:
        """Tell whether a unit exists."""
        if is_pin(unit):
            return unit in self._pin_owners
        return 0 <= unit < self.slices

    def owner(self, unit: int) -> int:
        """Return the session that a unit is assigned to, or 0."""
        if is_pin(unit):
            return self._pin_owners.get(unit, 0)
        return self._owners[unit]

    def epoch(self, unit: int) -> int:
        """Return a unit's epoch, 0 before the first assignment."""
        if is_pin(unit):
            return self._pin_epochs.get(unit, 0)
        return self._epochs[unit]

    def earlier_holders(self, unit: int) -> tuple[int, ...]:
        """Return the sessions that may hold a unit at a lower epoch."""
        return self._earlier_holders.get(unit, ())

    def pins(self) -> list[int]:
        """Return the pinned units."""
        return list(self._pin_owners)

    def units(self) -> Iterator[int]:
        """Iterate over all units, slices first."""
        yield from range(self.slices)
        yield from self._pin_owners

    def units_of(self, session_id: int) -> list[int]:
        """Return the units that are assigned to a session."""
        owned = _indexes_of(session_id, self._owners)
        owned += [
            unit
            for unit, owner in self._pin_owners.items()
            if owner == session_id
        ]
        return owned

    def by_owner(self) -> dict[int, list[int]]:
        """Return the units by owner; 0 has the unassigned ones."""
        owned: dict[int, list[int]] = {}
        for unit, owner in enumerate(self._owners):
            if owner not in owned:
                owned[owner] = []
            owned[owner].append(unit)
        for unit, owner in self._pin_owners.items():
            owned.setdefault(owner, []).append(unit)
        return owned

    def counts(self) -> Counter[int]:
        """Return the number of units by owner; 0 has the unassigned."""
        counts = Counter(self._owners)
        counts.update(self._pin_owners.values())
        return counts

    def assign(self, unit: int, owner: int, successor: int) -> None:
        """
        Assign a unit to a new owner and raise its epoch by two.

        :param owner: session id of the new owner.
        :param successor: the previous owner's successor, or 0.
        """
        previous = self.owner(unit)
        holders = [*self.earlier_holders(unit), previous, successor]
        self._set_earlier_holders(
            unit, tuple(dict.fromkeys(holder for holder in holders if holder))
        )
        self._set(unit, owner, self.epoch(unit) + _EPOCH_STEP)

    def confirm_activation(self, unit: int, epoch: int) -> bool:
        """
        Clear a unit's earlier holders once its owner has activated it.

        :param epoch: the epoch of the owner's report.
        :return: whether the report is about the current epoch.
        """
        if epoch != self.epoch(unit):
            return False
        self._clear_earlier_holders(unit)
        return True

    def add_pin(self, unit: int) -> None:
        """Add a pinned key with the state that its slice has."""
        parent = slice_of(unit, self.slices)
        self._set(unit, self.owner(parent), self.epoch(parent))
        if parent in self._earlier_holders:
            self._earlier_holders[unit] = self._earlier_holders[parent]

    def remove_pin(self, unit: int) -> None:
        """
        Remove a pinned key; it belongs to its slice again.

        The slice gets the higher of both epochs, so that two different
        owners never hold a pin at the same epoch.
        """
        parent = slice_of(unit, self.slices)
        epoch = max(self.epoch(parent), self.epoch(unit))
        self._set(parent, self.owner(parent), epoch)
        del self._pin_owners[unit]
        del self._pin_epochs[unit]
        self._clear_earlier_holders(unit)

    def restore(
        self,
        unit: int,
        owner: int,
        epoch: int,
        earlier_holders: tuple[int, ...],
    ) -> None:
        """Set a unit's whole state, as read from a snapshot."""
        self._set(unit, owner, epoch)
        self._set_earlier_holders(unit, earlier_holders)

    def owners_as_bytes(self) -> bytes:
        """Return the slices' owners, 8 bytes little-endian each."""
        return _to_bytes(self._owners)

    def epochs_as_bytes(self) -> bytes:
        """Return the slices' epochs, 8 bytes little-endian each."""
        return _to_bytes(self._epochs)

    def units_with_earlier_holders(self) -> list[int]:
        """Return the units that have earlier holders."""
        return list(self._earlier_holders)

    def restore_slices(self, owners: bytes, epochs: bytes) -> None:
        """
        Set owner and epoch of all slices, as read from a snapshot.

        :raises ValueError: if either is not 8 bytes per slice.
        """
        if len(owners) != len(epochs) or len(owners) != 8 * self.slices:
            raise ValueError(
                "owners and epochs must have 8 bytes for each slice"
            )
        self._owners = _from_bytes(owners)
        self._epochs = _from_bytes(epochs)

    def _set_earlier_holders(
        self, unit: int, holders: tuple[int, ...]
    ) -> None:
        """Set holders, if any; equal ones are stored only once."""
        if holders:
            self._earlier_holders[unit] = self._shared_holders.setdefault(
                holders, holders
            )

    def _clear_earlier_holders(self, unit: int) -> None:
        self._earlier_holders.pop(unit, None)
        if not self._earlier_holders:
            self._shared_holders.clear()

    def _set(self, unit: int, owner: int, epoch: int) -> None:
        if is_pin(unit):
            self._pin_owners[unit] = owner
            self._pin_epochs[unit] = epoch
        else:
            self._owners[unit] = owner
            self._epochs[unit] = epoch


def _indexes_of(value: int, values: array[int]) -> list[int]:
    """
    Return the indexes of all items that equal a value.

    Searches the bytes, which is faster than comparing each item.
    """
    wanted = value.to_bytes(_ITEM_BYTES, sys.byteorder)
    data = values.tobytes()
    found = []
    position = data.find(wanted)
    while position >= 0:
        index, remainder = divmod(position, _ITEM_BYTES)
        if remainder == 0:
            found.append(index)
        # A match across two items may overlap an aligned one that
        # begins inside it, so the search goes on one byte later.
        position = data.find(
            wanted, position + (1 if remainder else _ITEM_BYTES)
        )
    return found


def _to_bytes(values: array[int]) -> bytes:
    if sys.byteorder == "big":
        values = values[:]
        values.byteswap()
    return values.tobytes()


def _from_bytes(data: bytes) -> array[int]:
    values = array("Q", data)
    if sys.byteorder == "big":
        values.byteswap()
    return values
