"""A request in flight under a session."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.ownership.unit import pin_of, slice_of

if TYPE_CHECKING:
    from burdockgap.ownership.holdings import Holdings
    from burdockgap.ownership.lease_permit import LeasePermit


class WorkItem:
    """
    One keyed request from its dispatch to its end.

    :param key_hash: hash of the request's key.
    :param permit: the permit under which it was dispatched.
    :param holdings: the holdings that count it.
    :ivar ended: set when the request has ended.
    """

    __slots__ = ("ended", "holdings", "key_hash", "permit")

    def __init__(
        self, key_hash: int, permit: LeasePermit, holdings: Holdings
    ) -> None:
        self.key_hash = key_hash
        self.permit = permit
        self.holdings = holdings
        self.ended = anyio.Event()

    def units(self, slices: int) -> set[int]:
        """Return the units that may contain the key: pin and slice."""
        return {pin_of(self.key_hash), slice_of(self.key_hash, slices)}
