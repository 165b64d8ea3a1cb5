"""Whether the coordinator is of use to this member."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from burdockgap.shards.coordinator_capacity import outranks

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.control_view import ControlView

_LOST_AFTER_S = 1.1
"""Slightly more than three report intervals, within a lease."""
_DOUBTFUL_AFTER_S = 0.7
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

    :param roster: the members.
    :param view: the newest control state that this daemon knows.
    :param clock: keeps counting while the machine is suspended.
    :ivar answered_at: when the last answer arrived, in seconds.
    """

    __slots__ = ("_clock", "_pending", "_roster", "_view", "answered_at")

    def __init__(
        self, *, roster: Roster, view: ControlView, clock: Clock
    ) -> None:
        self._roster = roster
        self._view = view
        self._clock = clock
        self._pending: deque[float] = deque()
        self.answered_at = clock.now()

    def begin_term(self) -> None:
        """Forget the reports to an earlier coordinator."""
        self._pending.clear()
        self.answered_at = self._clock.now()

    def note_report(self, sent_at: float) -> None:
        """Note a report that was due, whether or not it was sent."""
        if len(self._pending) < _MAX_PENDING:
            self._pending.append(sent_at)

    def note_answer(self, sent_at: float) -> None:
        """
        Note an answer; those to earlier reports may be lost.

        :param sent_at: when the answered report was sent, in seconds.
        """
        self.answered_at = self._clock.now()
        while self._pending and self._pending[0] <= sent_at:
            self._pending.popleft()

    def is_lost(self) -> bool:
        """Return whether the coordinator answers late or not at all."""
        return self._is_unanswered(_LOST_AFTER_S)

    def is_stepping_down(self) -> bool:
        """Return whether the coordinator asks to be replaced."""
        member = self._coordinator()
        return member is not None and (member.resigning or member.leaving)

    def is_outranked_by(self, candidate: Member) -> bool:
        """Return whether its machine is too small, unlike another."""
        member = self._coordinator()
        return member is not None and outranks(
            candidate, member, len(self._roster.live())
        )

    def supports(self, candidate: Member) -> bool:
        """Return whether this member consents to a claim."""
        return (
            self._is_unanswered(_DOUBTFUL_AFTER_S)
            or self.is_stepping_down()
            or self.is_outranked_by(candidate)
        )

    def _is_unanswered(self, after_s: float) -> bool:
        member = self._coordinator()
        incarnation = self._view.state.incarnation
        if member is not None and member.incarnation != incarnation:
            return True
        if not self._pending:
            return False
        return self._clock.now() - self._pending[0] > after_s

    def _coordinator(self) -> Member | None:
        return self._roster.member(self._view.state.coordinator)
