"""A decision to assign a unit to another session."""

from __future__ import annotations


class Move:
    """
    One unit and its new owner.

    :param unit: the unit's id.
    :param owner: session id of the new owner.
    """

    __slots__ = ("owner", "unit")

    def __init__(self, *, unit: int, owner: int) -> None:
        self.unit = unit
        self.owner = owner
