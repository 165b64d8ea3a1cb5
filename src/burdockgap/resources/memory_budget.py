"""The limit on the bytes of messages that a process holds."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from burdockgap.resources.charge import Charge
from burdockgap.resources.claim import Claim

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class MemoryBudget:
    """
    Bounds what all connections of a process hold together.

    :param max_bytes: bytes that may be in use at once.
    :param reserve_share: share of them that large messages leave free.
    :ivar used: bytes in use.
    :ivar held: bytes in use by holder.
    :ivar refused: claims that did not fit.
    :ivar on_full: called with the bytes that are missing when a claim
        does not fit; may free some.
    """

    __slots__ = (
        "_limits",
        "held",
        "max_bytes",
        "on_full",
        "refused",
        "used",
    )

    def __init__(self, max_bytes: int, *, reserve_share: float = 0.0) -> None:
        self.max_bytes = max_bytes
        reserve_bytes = int(max_bytes * reserve_share)
        self._limits = {
            claim: max_bytes - int(reserve_bytes * (1 - claim.value))
            for claim in Claim
        }
        self.used = 0
        self.held: dict[str, int] = {}
        self.refused = 0
        self.on_full: Callable[[int], None] = lambda _missing: None

    def charge(self, holder: str, *, is_control: bool = False) -> Charge:
        """Return an empty charge of a holder."""
        return Charge(self, holder, is_control=is_control)

    @contextmanager
    def hold(self, size: int, holder: str) -> Iterator[None]:
        """Count bytes that are held already until the context exits."""
        charge = self.charge(holder)
        charge.force(size)
        try:
            yield
        finally:
            charge.release()

    def fits(self, size: int, claim: Claim = Claim.LARGE) -> bool:
        """Return whether bytes are free, after freeing some if not."""
        missing = self._missing(size, claim)
        if missing > 0:
            self.on_full(missing)
            missing = self._missing(size, claim)
        return missing <= 0

    def take(self, size: int, holder: str, claim: Claim = Claim.LARGE) -> bool:
        """Reserve bytes; return whether that many were free."""
        if self.used + size > self._limits[claim] and not self.fits(
            size, claim
        ):
            self.refused += 1
            return False
        self.used += size
        self.held[holder] = self.held.get(holder, 0) + size
        return True

    def add(self, size: int, holder: str) -> None:
        """Count bytes without regard to the limit."""
        self.used += size
        self.held[holder] = self.held.get(holder, 0) + size

    def give_back(self, size: int, holder: str) -> None:
        """Return reserved bytes to the budget."""
        self.used -= size
        self.held[holder] -= size

    def _missing(self, size: int, claim: Claim) -> int:
        return self.used + size - self._limits[claim]
