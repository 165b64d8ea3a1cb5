"""A unit that a session is about to activate."""

from __future__ import annotations


class PendingUnit:
    """
    A unit whose activation waits for releases by earlier holders.

    :param epoch: the epoch at which it will be active.
    :ivar floors: the floor to which each earlier holder released it.
    """

    __slots__ = ("epoch", "floors")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.floors: dict[int, int] = {}

    def record_release(self, holder: int, floor: int) -> None:
        """Record an earlier holder's release."""
        self.floors[holder] = max(floor, self.floors.get(holder, 0))

    def is_released_by(self, holder: int) -> bool:
        """Tell whether a holder's floor allows the activation."""
        return self.floors.get(holder, 0) >= self.epoch
