"""Draining of a target."""

from __future__ import annotations

from burdockgap.wire.message import Message


class SetTarget(Message):
    """
    Sets whether a target is drained.

    :param name: the name of the target's daemon.
    :param draining: whether it receives no new work.
    """

    __slots__ = (
        "name",
        "draining",
    )
    TAG = 33

    def __init__(
        self,
        *,
        name: str,
        draining: bool,
    ) -> None:
        self.name = name
        self.draining = draining
