"""What one session holds."""

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

    A floor only rises: the session never activates a unit below it.

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
        """Make a unit active; ``False`` if that is not allowed."""
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
        """Raise a unit's floor and stop holding it below the floor."""
        self._floors[unit] = max(floor, self.floor(unit))
        if 0 < self.epoch(unit) < floor:
            RELEASES.inc()
            self._drop(unit)

    def active_pins(self, slice_index: int, slices: int) -> list[int]:
        """Return the active pins whose keys fall into a slice."""
        return [
            pin for pin in self._pins if slice_of(pin, slices) == slice_index
        ]

    def pin(self, pin: int, parent: int) -> None:
        """Go on holding a key that was just taken out of its slice."""
        floor = max(self.floor(pin), self.floor(parent))
        if floor:
            self._floors[pin] = floor
        if self.epoch(parent):
            self.activate(pin, self.epoch(parent))

    def unpin(self, pin: int) -> None:
        """Forget that a key was held apart from its slice."""
        self._drop(pin)

    def clear(self) -> None:
        """Stop holding anything."""
        self.active.clear()
        self._pins.clear()

    def close(self) -> None:
        """Stop holding anything, and never activate a unit again."""
        self._closed = True
        self.clear()

    def enter(self, key_hash: int, permit: LeasePermit) -> WorkItem:
        """Count a request in flight."""
        item = WorkItem(key_hash, permit, self)
        self.adopt(item)
        return item

    def leave(self, item: WorkItem) -> None:
        """Note that a request has ended, wherever it counts by now."""
        item.holdings.forget(item)
        item.ended.set()

    def forget(self, item: WorkItem) -> None:
        """Count a request no more."""
        self._work.discard(item)

    def hand_over(self, work: list[WorkItem], session: OwnSession) -> None:
        """Pass requests in flight on to another session's holdings."""
        for item in work:
            self._work.discard(item)
            item.permit.hand_over(session)
            session.holdings.adopt(item)

    def adopt(self, item: WorkItem) -> None:
        """Count a request in flight that began elsewhere."""
        item.holdings = self
        self._work.add(item)

    def work_in(self, units: set[int], slices: int) -> list[WorkItem]:
        """Return the requests in flight whose keys fall into units."""
        return [item for item in self._work if item.units(slices) & units]

    def _drop(self, unit: int) -> None:
        self.active.pop(unit, None)
        self._pins.discard(unit)
