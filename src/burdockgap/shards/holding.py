"""State of a range that the target holds or is about to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from burdockgap.shards.shard import Shard


class Holding:
    """
    The state of one owned range at the target.

    Times are seconds on the daemon's clock.

    :param shard: the range.
    :ivar cleared: whether all earlier holders have released the range.
    :ivar handover: handover of the last holder, "" if there is none.
    :ivar granted: whether the target has accepted a grant.
    :ivar hold_until: until when the target certainly holds the range.
    :ivar may_hold_until: until when an answered grant may last if the
        target's clock runs as slowly as it may.
    :ivar unanswered_until: until when an unanswered grant may last if
        the target applies it as late as possible and its clock runs as
        slowly as it may.
    :ivar rejected: whether the target has seen a higher fencing token.
    :ivar takeover_task: asks the earlier holders to release the range,
        or the target itself if it may hold that of an earlier process.
    :ivar granting: whether a grant request is in flight.
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
        """Return whether the target may still hold the range."""
        until = max(
            self.hold_until, self.may_hold_until, self.unanswered_until
        )
        return self.granting or until > now

    def expire(self) -> None:
        """Note that the target certainly holds nothing of the range."""
        self.hold_until = self.may_hold_until = self.unanswered_until = 0.0

    def inherit(self, parts: list[Holding]) -> None:
        """Derive the state from the holdings that cover the range."""
        self.cleared = all(part.cleared for part in parts)
        self.granted = all(part.granted for part in parts)
        self.hold_until = min(part.hold_until for part in parts)
        self.may_hold_until = max(part.may_hold_until for part in parts)
        self.unanswered_until = max(part.unanswered_until for part in parts)
        handovers = {part.handover for part in parts}
        self.handover = handovers.pop() if len(handovers) == 1 else ""


def carry_over(shard: Shard, before: list[Holding]) -> Holding:
    """
    Return the holding of an assigned range.

    An unchanged range keeps its holding. A split or merged range
    inherits the state of the earlier holdings that cover it.

    :param before: the holdings of the assignment before, in order of
        keys.
    """
    parts = []
    for holding in before:
        is_predecessor = (
            holding.shard.born == shard.born
            and holding.shard.fence <= shard.fence
            and holding.shard.overlaps(shard.first, shard.last)
        )
        if not is_predecessor:
            continue
        is_equal = (
            holding.shard.first == shard.first
            and holding.shard.last == shard.last
            and holding.shard.fence == shard.fence
        )
        if is_equal:
            holding.shard = shard
            if not shard.previous and not holding.cleared:
                holding.cleared = True
            return holding
        parts.append(holding)
    new_holding = Holding(shard)
    fences = {part.shard.fence for part in parts}
    if _covers(parts, shard) and (
        fences == {shard.fence} or not shard.previous
    ):
        new_holding.inherit(parts)
        new_holding.cleared = new_holding.cleared or not shard.previous
    return new_holding


def _covers(parts: list[Holding], shard: Shard) -> bool:
    """Return whether parts sorted by key cover a range without gaps."""
    key = shard.first
    for part in parts:
        if part.shard.first > key:
            return False
        key = max(key, part.shard.last + 1)
    return key > shard.last
