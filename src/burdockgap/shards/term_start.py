"""How the term of a coordinator begins."""

from __future__ import annotations

import enum


class TermStart(enum.Enum):
    """What a new coordinator knows of earlier leases."""

    FIRST = "first"
    """There are none, as this is the first term of all."""
    SUCCESSION = "succession"
    """The stored state names their holders; they may be renewed."""
    RECOVERY = "recovery"
    """The store may have lost states, so unknown members may hold some;
    nothing may be leased before all have expired."""
    REPLACEMENT = "replacement"
    """A majority of the voters is gone, and all earlier leases have
    expired."""


def most_cautious(one: TermStart, other: TermStart | None) -> TermStart:
    """Return the start that assumes less about earlier leases."""
    if other is None:
        return one
    order = (
        TermStart.FIRST,
        TermStart.REPLACEMENT,
        TermStart.SUCCESSION,
        TermStart.RECOVERY,
    )
    return max(one, other, key=order.index)
