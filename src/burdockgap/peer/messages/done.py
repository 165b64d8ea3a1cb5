"""The reply to a call that has no other result."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Done(Message):
    """
    Tells whether the call was accepted.

    :param taken: false if the daemon is not the coordinator.
    """

    __slots__ = ("taken",)
    TAG = 65

    def __init__(
        self,
        *,
        taken: bool,
    ) -> None:
        self.taken = taken
