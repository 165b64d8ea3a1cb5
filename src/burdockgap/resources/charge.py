"""Bytes that one owner holds of a memory budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.resources.claim import Claim

if TYPE_CHECKING:
    from burdockgap.resources.memory_budget import MemoryBudget

_SMALL_BYTES = 64 * 1024


class Charge:
    """
    Counts bytes against a budget until it is released or freed.

    An owner that is dropped without a release, such as a response that
    a cancelled task held, credits its bytes when it is freed.

    :param budget: the budget.
    :param holder: what holds the bytes, one of a few names.
    :param is_control: whether the whole reserve may be used, and up to
        64 KiB beyond the limit.
    :ivar size: bytes that are counted.
    """

    __slots__ = ("_budget", "_holder", "_is_control", "size")

    def __init__(
        self, budget: MemoryBudget, holder: str, *, is_control: bool = False
    ) -> None:
        self._budget = budget
        self._holder = holder
        self._is_control = is_control
        self.size = 0

    def __del__(self) -> None:
        if self.size:
            self.release()

    def grow(self, size: int) -> bool:
        """Count more bytes; return whether they fit."""
        if self._is_control and self.size + size <= _SMALL_BYTES:
            # Replies to peers may exceed the limit until a slow link
            # has sent them.
            self.force(size)
            return True
        if self._is_control:
            claim = Claim.CONTROL
        elif self.size + size <= _SMALL_BYTES:
            claim = Claim.SMALL
        else:
            claim = Claim.LARGE
        if not self._budget.take(size, self._holder, claim):
            return False
        self.size += size
        return True

    def force(self, size: int) -> None:
        """Count bytes that are held already, even above the limit."""
        self._budget.add(size, self._holder)
        self.size += size

    def shrink_to(self, size: int) -> None:
        """Credit the bytes above a size."""
        if size < self.size:
            self._budget.give_back(self.size - size, self._holder)
            self.size = size

    def release(self) -> None:
        """Credit all bytes; repeated calls have no effect."""
        self.shrink_to(0)
