"""Faults of a log that tests switch on."""

from __future__ import annotations


class LogFaults:
    """
    What goes wrong at present.

    :ivar down: whether every call is refused without effect.
    :ivar delay_s: seconds that each call waits before its effect.
    :ivar lose_replies: number of appends to come that take effect but
        are not answered.
    """

    __slots__ = ("delay_s", "down", "lose_replies")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_replies = 0

    def lose_reply(self) -> bool:
        """Tell whether to lose the reply of an append."""
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True
