"""Faults that tests inject into a stand-in log."""

from __future__ import annotations


class LogFaults:
    """
    The active faults; a new object has none.

    :ivar down: whether every call fails without effect.
    :ivar delay_s: delay before each call takes effect, in seconds.
    :ivar lose_replies: number of upcoming appends that take effect but
        whose reply is lost.
    """

    __slots__ = ("delay_s", "down", "lose_replies")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_replies = 0

    def should_lose_reply(self) -> bool:
        """
        Return whether to lose the reply of the current append.

        Decrements :attr:`lose_replies` if so.
        """
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True
