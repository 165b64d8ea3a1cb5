"""Whether the coordinator answers this member's reports in time."""

from __future__ import annotations

from collections import deque

LOST_AFTER_S = 1.1
"""Slightly more than three report intervals, within a lease."""
DOUBTFUL_AFTER_S = 0.7
"""Two report intervals. Members notice a loss up to one interval apart,
and those that notice it later have to support the first one."""
_MAX_PENDING = 100
"""Bounds memory; by then the coordinator counts as lost for long."""


class CoordinatorWatch:
    """
    Measures how long reports have been without an answer.

    Answers that arrive regularly are of no use if each of them is late:
    the lease that it extends has expired. So it is the age of the
    oldest unanswered report that counts, not that of the last answer.

    :param now: the current time, in seconds.
    """

    __slots__ = ("_pending", "answered_at")

    def __init__(self, now: float) -> None:
        self._pending: deque[float] = deque()
        self.answered_at = now

    def begin_term(self, now: float) -> None:
        """Forget the reports to an earlier coordinator."""
        self._pending.clear()
        self.answered_at = now

    def note_report(self, sent_at: float) -> None:
        """Note a report that was due, whether or not it was sent."""
        if len(self._pending) < _MAX_PENDING:
            self._pending.append(sent_at)

    def note_answer(self, sent_at: float, now: float) -> None:
        """
        Note an answer; those to earlier reports may be lost.

        :param sent_at: when the answered report was sent, in seconds.
        """
        self.answered_at = now
        while self._pending and self._pending[0] <= sent_at:
            self._pending.popleft()

    def unanswered_s(self, now: float) -> float:
        """Return the age of the oldest unanswered report."""
        return now - self._pending[0] if self._pending else 0.0
