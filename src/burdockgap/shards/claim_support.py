"""The other voters' consent to replace the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.fleet.datagrams import CLAIM_QUESTION, CLAIM_SUPPORT
from burdockgap.shards.voters import hears_majority

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.control_view import ControlView

_MAX_ROUND_TRIP_S = 0.5
"""A member that needs longer for this could not extend leases in time
as coordinator."""


class ClaimSupport:
    """
    Asks the voters whether they miss the coordinator as well.

    A member whose own process or link is slow sees answers late or not
    at all. It must not take the role from a coordinator that answers
    all others, least of all as it is slow.

    :param roster: the members.
    :param view: the newest control state that this daemon knows.
    :param datagrams: sends questions and answers.
    :param clock: keeps counting while the machine is suspended.
    :param supports: returns whether this member consents to a claim of
        a given member.
    """

    __slots__ = (
        "_asked_at",
        "_clock",
        "_datagrams",
        "_roster",
        "_supporters",
        "_supports",
        "_view",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        view: ControlView,
        datagrams: Datagrams,
        clock: Clock,
        supports: Callable[[Member], bool],
    ) -> None:
        self._roster = roster
        self._view = view
        self._datagrams = datagrams
        self._clock = clock
        self._supports = supports
        self._asked_at = 0.0
        self._supporters: set[str] = set()
        datagrams.handlers[CLAIM_QUESTION] = self._handle_question
        datagrams.handlers[CLAIM_SUPPORT] = self._handle_support

    def ask(self) -> None:
        """Ask all voters; earlier answers no longer count."""
        self._asked_at = self._clock.now()
        own = self._roster.own
        self._supporters = {own.name}
        for name in self._view.state.voters:
            member = self._roster.member(name)
            if member is None or name == own.name:
                continue
            self._datagrams.send(
                member.address,
                CLAIM_QUESTION,
                own.name,
                self._view.state.term,
                self._asked_at,
            )

    def is_given(self) -> bool:
        """
        Return whether this member may claim the role.

        Without a majority of voters in reach there is nobody to ask;
        other rules bound such a claim.
        """
        state = self._view.state
        if state.term == 0 or not hears_majority(self._roster, state.voters):
            return True
        if self._clock.now() - self._asked_at > _MAX_ROUND_TRIP_S:
            return False
        count = sum(name in self._supporters for name in state.voters)
        return count > len(state.voters) // 2

    def _handle_question(self, values: list[Any]) -> None:
        name, term, asked_at = values
        member = self._roster.member(name)
        own_term = self._view.state.term
        if member is None or term < own_term:
            return
        # A member that does not know the term cannot object to its end.
        if term > own_term or self._supports(member):
            self._datagrams.send(
                member.address,
                CLAIM_SUPPORT,
                self._roster.own.name,
                term,
                asked_at,
            )

    def _handle_support(self, values: list[Any]) -> None:
        name, term, asked_at = values
        is_current = (
            term == self._view.state.term and asked_at == self._asked_at
        )
        age_s = self._clock.now() - self._asked_at
        if is_current and age_s <= _MAX_ROUND_TRIP_S:
            self._supporters.add(name)
