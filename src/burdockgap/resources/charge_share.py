"""Shares of a charge whose bytes have several owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.resources.charge import Charge


class ChargeShare:
    """
    One owner's reference to bytes that others hold as well.

    The charge is credited when nobody refers to it any more.

    :param charge: counts the bytes.
    """

    __slots__ = ("_charge",)

    def __init__(self, charge: Charge) -> None:
        self._charge: Charge | None = charge

    @property
    def size(self) -> int:
        """Bytes that are counted, 0 after the release."""
        return self._charge.size if self._charge is not None else 0

    def release(self) -> None:
        """Drop the reference; repeated calls have no effect."""
        self._charge = None
