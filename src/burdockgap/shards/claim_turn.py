"""When this member may claim the coordinator's role."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.clock import Clock
    from burdockgap.fleet.roster import Roster
    from burdockgap.shards.claim_support import ClaimSupport
    from burdockgap.shards.control_view import ControlView

_LIVE_WITHIN_S = 2.2
"""Silence after which a member gets no turn."""
_STAGGER_S = 0.25
"""Delay between the claims of two members; a claim takes two calls to
the store."""
_BACKOFF_S = 0.5
"""Shortest backoff after a failed claim, since the store may be down
for all members, or others do not miss the coordinator."""
_SUPPORT_TIMEOUT_S = 0.3
_SUPPORT_POLL_S = 0.05


class ClaimTurn:
    """
    Lets members claim one after another, with the voters' consent.

    :param roster: the members.
    :param view: the newest control state that this daemon knows.
    :param clock: keeps counting while the machine is suspended.
    :param support: asks the voters for their consent.
    """

    __slots__ = (
        "_base_term",
        "_claim_at",
        "_clock",
        "_not_before",
        "_roster",
        "_support",
        "_support_until",
        "_view",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        view: ControlView,
        clock: Clock,
        support: ClaimSupport,
    ) -> None:
        self._roster = roster
        self._view = view
        self._clock = clock
        self._support = support
        self._base_term = 0
        self._claim_at: float | None = None
        self._support_until: float | None = None
        self._not_before = 0.0

    @property
    def is_backing_off(self) -> bool:
        """Whether the last claim failed a moment ago."""
        return self._clock.now() < self._not_before

    def reset(self) -> None:
        """Forget the turn, as there is no need to claim."""
        self._claim_at = self._support_until = None

    def note_failure(self) -> None:
        """Begin the backoff after a claim that failed."""
        pause_s = _BACKOFF_S * random.uniform(1, 2)
        self._not_before = self._clock.now() + pause_s

    def wait_s(self) -> float:
        """Return how long to wait for the turn; 0 if it has come."""
        now, term = self._clock.now(), self._view.state.term
        if self._claim_at is None or self._base_term != term:
            self.reset()
            self._base_term = term
            self._claim_at = now + self._delay_s()
        if now < self._claim_at:
            return self._claim_at - now
        if not self._support.is_given():
            return self._support_wait_s(now)
        self.reset()
        return 0.0

    def _support_wait_s(self, now: float) -> float:
        """Ask for the voters' consent, or give up for a while."""
        if self._support_until is None:
            self._support.ask()
            self._support_until = now + _SUPPORT_TIMEOUT_S
        elif now >= self._support_until:
            self._support_until = None
            pause_s = _BACKOFF_S * random.uniform(1, 2)
            self._claim_at = now + pause_s
            return pause_s
        return _SUPPORT_POLL_S

    def _delay_s(self) -> float:
        """
        Return the delay before a claim, in seconds.

        Members claim one after another, those first whose machine has
        the largest capacity.
        """
        state = self._view.state
        own = self._roster.own.name
        if own == state.coordinator:
            return 0.0
        live = [
            member
            for member in self._roster.live(_LIVE_WITHIN_S)
            if member.name != state.coordinator and not member.leaving
        ]
        live.sort(key=lambda member: (-member.capacity, member.name))
        names = [member.name for member in live]
        rank = names.index(own) if own in names else len(names)
        if state.term == 0:
            rank += 2
        return rank * _STAGGER_S
