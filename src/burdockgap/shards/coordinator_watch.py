"""Whether the coordinator answers this member's reports."""

from __future__ import annotations

LOST_AFTER_S = 1.1
"""Slightly more than three report intervals, within a lease."""
DOUBTFUL_AFTER_S = 0.7
"""Two report intervals. Members notice a loss up to one interval apart,
and those that notice it later have to support the first one."""


class CoordinatorWatch:
    """
    Measures how long the coordinator has not answered.

    :param now: the current time, in seconds.
    """

    __slots__ = ("answered_at",)

    def __init__(self, now: float) -> None:
        self.answered_at = now

    def begin_term(self, now: float) -> None:
        """Start again with another coordinator."""
        self.answered_at = now

    def note_answer(self, now: float) -> None:
        """Note an answer."""
        self.answered_at = now

    def unanswered_s(self, now: float) -> float:
        """Return the time since the last answer, in seconds."""
        return now - self.answered_at
