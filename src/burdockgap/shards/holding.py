"""A range that the target holds or is about to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from burdockgap.shards.shard import Shard


class Holding:
    """
    The state of one owned range at the target.

    :param shard: the range.
    :ivar cleared: whether all earlier holders have let go.
    :ivar handover: what the last holder gave, "" if nothing.
    :ivar granted: whether the target has taken a grant.
    :ivar hold_until: until when it surely holds the keys.
    :ivar may_hold_until: until when any grant so far may last at the
        target's slowest clock.
    :ivar unanswered_until: the same for grants that brought no answer,
        which the target may still take.
    :ivar rejected: whether the target has seen a higher fencing token.
    :ivar taker: the task that asks the earlier holders.
    :ivar granting: whether a grant is on its way.
    """

    __slots__ = (
        "cleared",
        "granted",
        "granting",
        "handover",
        "hold_until",
        "may_hold_until",
        "rejected",
        "shard",
        "takeover_task",
        "unanswered_until",
    )

    def __init__(self, shard: Shard) -> None:
        self.shard = shard
        self.cleared = not shard.previous
        self.handover = ""
        self.granted = False
        self.granting = False
        self.hold_until = 0.0
        self.may_hold_until = 0.0
        self.unanswered_until = 0.0
        self.rejected = False
        self.takeover_task: asyncio.Task[None] | None = None

    def may_be_held(self, now: float) -> bool:
        """Tell whether the target may hold the range at some time."""
        until = max(
            self.hold_until, self.may_hold_until, self.unanswered_until
        )
        return self.granting or until > now

    def inherit(self, parts: list[Holding]) -> None:
        """Take over the state of the range's earlier parts."""
        self.cleared = all(part.cleared for part in parts)
        self.granted = all(part.granted for part in parts)
        self.hold_until = min(part.hold_until for part in parts)
        self.may_hold_until = max(part.may_hold_until for part in parts)
        self.unanswered_until = max(part.unanswered_until for part in parts)
        handovers = {part.handover for part in parts}
        self.handover = handovers.pop() if len(handovers) == 1 else ""
