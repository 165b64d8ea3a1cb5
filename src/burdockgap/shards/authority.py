"""The coordinator's authority to act, from a majority of members."""

from __future__ import annotations

from burdockgap.shards.lease import (
    AUTHORITY_S,
    CLOCK_RATE,
    CONFIRMATION_S,
    MARGIN_S,
)

_CONFIRM_INTERVAL_S = 3.0
"""Interval of writes while a voter is silent; two may fail before the
authority ends."""
_IDLE_CONFIRM_INTERVAL_S = 60.0
"""Half of the time after which a member that is no voter may replace
the voters."""
_REFRESHES_PER_ROUND = 8
"""How often the order of the votes is determined while each voter votes
once. Doing so for each vote takes time that grows with the square of
the members: 0.15 s per second at 248 of them."""
_MAX_ELECTORATES = 2
"""The current voters and those of a write in progress."""


class _VoteTimes:
    """
    Times of the votes of one group of voters, in seconds.

    :param vote_count: number of votes that they include.
    :param majority_at: when a majority last voted.
    :param all_at: when all last voted.
    """

    __slots__ = ("all_at", "majority_at", "vote_count")

    def __init__(
        self, vote_count: int, majority_at: float, all_at: float
    ) -> None:
        self.vote_count = vote_count
        self.majority_at = majority_at
        self.all_at = all_at


class Authority:
    """
    Decides until when the coordinator may act in one term.

    A member votes with each report of the term; the vote counts from
    the coordinator's time that the report echoes. A member that follows
    a later term never votes for this one again. So a coordinator that
    needs the same voters can act only :data:`AUTHORITY_S` after a
    majority has stopped voting.

    A voter without a majority may replace the voters after a time in
    which the stored state did not change (:class:`TakeoverWait`). So
    unless all voters vote, this coordinator may act only for
    :data:`CONFIRMATION_S` after a write that took effect.

    :param now: when the term was claimed, in seconds.
    :param no_earlier_leases: whether no lease of an earlier term can be
        valid.
    :ivar safe_at: when all leases of earlier coordinators have expired,
        in seconds; ``None`` until a majority has voted.
    """

    __slots__ = (
        "_confirmed_at",
        "_times",
        "_vote_count",
        "_votes",
        "safe_at",
    )

    def __init__(self, now: float, *, no_earlier_leases: bool) -> None:
        self._votes: dict[str, float] = {}
        self._vote_count = 0
        self._times: dict[tuple[str, ...], _VoteTimes] = {}
        self._confirmed_at = 0.0
        self.safe_at: float | None = now if no_earlier_leases else None

    def vote(self, name: str, echo: float) -> None:
        """
        Count a member's vote.

        :param echo: coordinator's time that the report echoes, in
            seconds; a lower one than before has no effect.
        """
        self._votes[name] = max(self._votes.get(name, 0.0), echo)
        self._vote_count += 1

    def confirm(self, sent_at: float) -> None:
        """
        Note a write to the store that took effect.

        :param sent_at: when it was sent, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def voters(self) -> set[str]:
        """Return the members that have voted in this term."""
        return set(self._votes)

    def majority_voted_at(self, voters: tuple[str, ...]) -> float:
        """
        Return the latest time at which a majority voted.

        :param voters: names of the members that form the quorum.
        :return: in seconds, 0 if none did.
        """
        if not voters:
            return 0.0
        return self._vote_times(voters).majority_at

    def has_majority(self, now: float, voters: tuple[str, ...]) -> bool:
        """Return whether a majority votes for this term."""
        return (
            bool(voters) and self.majority_voted_at(voters) + AUTHORITY_S > now
        )

    def until(self, voters: tuple[str, ...]) -> float:
        """
        Return the time until which the coordinator may act.

        :param voters: names of the members that form the quorum.
        :return: in seconds, 0 if there are no voters.
        """
        if not voters:
            return 0.0
        times = self._vote_times(voters)
        certain_at = max(self._confirmed_at, times.all_at)
        return min(
            times.majority_at + AUTHORITY_S, certain_at + CONFIRMATION_S
        )

    def needs_confirmation(self, now: float, voters: tuple[str, ...]) -> bool:
        """Return whether the state should be written once more."""
        certain_at = max(self._confirmed_at, self._vote_times(voters).all_at)
        return (
            now - certain_at > _CONFIRM_INTERVAL_S
            or now - self._confirmed_at > _IDLE_CONFIRM_INTERVAL_S
        )

    def are_earlier_leases_expired(self, now: float) -> bool:
        """Return whether all leases of earlier coordinators expired."""
        return self.safe_at is not None and now > self.safe_at + MARGIN_S

    def note_majority(self, now: float, voters: tuple[str, ...]) -> None:
        """Start the wait for earlier leases once a majority voted."""
        if self.safe_at is None and self.until(voters) > now:
            self.safe_at = now + AUTHORITY_S * CLOCK_RATE

    def _vote_times(self, voters: tuple[str, ...]) -> _VoteTimes:
        """
        Return the times of the votes, possibly without the latest.

        As votes only become later, times that lack some are too early
        and never extend the coordinator's right to act.
        """
        known = self._times.get(voters)
        allowed_lag = len(voters) // _REFRESHES_PER_ROUND
        if known and self._vote_count - known.vote_count <= allowed_lag:
            return known
        times = sorted(
            (self._votes.get(name, 0.0) for name in voters), reverse=True
        )
        if len(self._times) >= _MAX_ELECTORATES:
            self._times.clear()
        known = self._times[voters] = _VoteTimes(
            self._vote_count, times[len(voters) // 2], times[-1]
        )
        return known
