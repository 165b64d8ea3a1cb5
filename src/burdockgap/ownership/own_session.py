"""A session of this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.ownership.holdings import Holdings

if TYPE_CHECKING:
    from burdockgap.lease.datagram_receivers import DatagramReceivers
    from burdockgap.lease.holder import LeaseHolder
    from burdockgap.lease.sender import Sender
    from burdockgap.ownership.pending_unit import PendingUnit


class OwnSession:
    """
    The local state of one session, from before its admission.

    :param session_id: the session.
    :ivar lease: its lease; ``None`` until it is admitted.
    :ivar holdings: the units that it holds.
    :ivar granted: epochs that the target has confirmed; ``None`` if the
        target does not check grants.
    :ivar pending: the units that it is about to activate.
    :ivar admitted: set when the session is admitted.
    :ivar ended: set when the session has ended.
    """

    __slots__ = (
        "admitted",
        "ended",
        "granted",
        "holdings",
        "lease",
        "pending",
        "session_id",
    )

    def __init__(self, session_id: int) -> None:
        self.session_id = session_id
        self.lease: LeaseHolder | None = None
        self.holdings = Holdings()
        self.granted: dict[int, int] | None = None
        self.pending: dict[int, PendingUnit] = {}
        self.admitted = anyio.Event()
        self.ended = anyio.Event()

    def is_held(self, now: float, margin_s: float = 0.0) -> bool:
        """Tell whether the lease lasts beyond a time and a margin."""
        return self.lease is not None and self.lease.is_held(now + margin_s)

    def is_granted(self, unit: int) -> bool:
        """Tell whether the target accepts work for an active unit."""
        if self.granted is None:
            return True
        return self.granted.get(unit, 0) == self.holdings.epoch(unit)

    def admit(self, lease: LeaseHolder) -> None:
        """Record the admission and the lease."""
        self.lease = lease
        self.admitted.set()

    def end(self) -> None:
        """Record the end and deactivate all units."""
        self.lease = None
        self.holdings.clear()
        self.pending.clear()
        self.ended.set()

    async def run(self, receivers: DatagramReceivers, sender: Sender) -> None:
        """Renew the lease from the admission until the session ends."""
        await self.admitted.wait()
        if self.lease is None:
            return
        receivers.holders[self.session_id] = self.lease
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.lease.run, sender)
                await self.ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            receivers.holders.pop(self.session_id, None)
