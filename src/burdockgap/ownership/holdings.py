"""The units that one session holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.ownership.counters import ACTIVATIONS, RELEASES
from burdockgap.ownership.unit import is_pin, slice_of
from burdockgap.ownership.work_item import WorkItem

if TYPE_CHECKING:
    from burdockgap.ownership.lease_permit import LeasePermit
    from burdockgap.ownership.own_session import OwnSession


class Holdings:
    """
    Active units, floors and requests in flight of one session.

    A unit's floor is the lowest epoch at which the session may activate
    it. It never decreases.

    :ivar active: epoch at which each unit is active.
    """

    __slots__ = ("_closed", "_floors", "_pins", "_work", "active")

    def __init__(self) -> None:
        self.active: dict[int, int] = {}
        self._closed = False
        self._floors: dict[int, int] = {}
        self._pins: set[int] = set()
        self._work: set[WorkItem] = set()

    def epoch(self, unit: int) -> int:
        """Return the epoch at which a unit is active, or 0."""
        return self.active.get(unit, 0)

    def floor(self, unit: int) -> int:
        """Return the lowest epoch at which a unit may be activated."""
        return self._floors.get(unit, 0)

    def activate(self, unit: int, epoch: int) -> bool:
        """Activate a unit; return ``False`` if that is not allowed."""
        if (
            self._closed
            or epoch < self.floor(unit)
            or epoch <= self.epoch(unit)
        ):
            return False
        self.active[unit] = epoch
        ACTIVATIONS.inc()
        if is_pin(unit):
            self._pins.add(unit)
        return True

    def release(self, unit: int, floor: int) -> None:
        """Raise a unit's floor and deactivate it below that epoch."""
        self._floors[unit] = max(floor, self.floor(unit))
        if 0 < self.epoch(unit) < floor:
            RELEASES.inc()
            self._deactivate(unit)

    def active_pins(self, slice_index: int, slices: int) -> list[int]:
        """Return the active pins whose keys fall into a slice."""
        return [
            pin for pin in self._pins if slice_of(pin, slices) == slice_index
        ]

    def pin(self, pin: int, parent: int) -> None:
        """
        Keep holding a key that was just pinned.

        :param parent: the slice that the key was part of.
        """
        floor = max(self.floor(pin), self.floor(parent))
        if floor:
            self._floors[pin] = floor
        if self.epoch(parent):
            self.activate(pin, self.epoch(parent))

    def unpin(self, pin: int) -> None:
        """Deactivate a pin whose key returned to its slice."""
        self._deactivate(pin)

    def clear(self) -> None:
        """Deactivate all units."""
        self.active.clear()
        self._pins.clear()

    def close(self) -> None:
        """Deactivate all units and refuse later activations."""
        self._closed = True
        self.clear()

    def start_work(self, key_hash: int, permit: LeasePermit) -> WorkItem:
        """Count a request in flight."""
        item = WorkItem(key_hash, permit, self)
        self.add_work(item)
        return item

    def finish_work(self, item: WorkItem) -> None:
        """End a request in the holdings that count it now."""
        item.holdings.remove_work(item)
        item.ended.set()

    def remove_work(self, item: WorkItem) -> None:
        """Stop counting a request in flight."""
        self._work.discard(item)

    def hand_over(self, work: list[WorkItem], session: OwnSession) -> None:
        """Move requests in flight to another session's holdings."""
        for item in work:
            self._work.discard(item)
            item.permit.hand_over(session)
            session.holdings.add_work(item)

    def add_work(self, item: WorkItem) -> None:
        """Count a request in flight in these holdings."""
        item.holdings = self
        self._work.add(item)

    def work_in(self, units: set[int], slices: int) -> list[WorkItem]:
        """Return the requests in flight whose keys fall into units."""
        return [item for item in self._work if item.units(slices) & units]

    def _deactivate(self, unit: int) -> None:
        self.active.pop(unit, None)
        self._pins.discard(unit)
