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
    One keyed request between its dispatch and its end.

    :param key_hash: hash of the request's key.
    :param permit: what the gate was given for it.
    :param holdings: the holdings that count it.
    :ivar ended: set when the work has ended.
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
        """Return the units that the key has, pinned and not pinned."""
        return {pin_of(self.key_hash), slice_of(self.key_hash, slices)}
