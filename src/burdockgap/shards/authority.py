"""The coordinator's authority to act, from a majority of members."""

from __future__ import annotations

from burdockgap.shards.lease import AUTHORITY_S, CLOCK_RATE, MARGIN_S


class Authority:
    """
    Counts the members' votes for one term of the coordinator.

    A member votes with each report of the term; the vote counts from
    the coordinator's time that the report echoes. A member that follows
    a later term never votes for this one again, so another coordinator
    can act without this one's knowledge only :data:`AUTHORITY_S` after
    a majority has stopped voting.

    :param now: when the term was claimed, in seconds.
    :param is_first: whether this is the first term of all.
    :ivar safe_at: when all leases of earlier coordinators have expired,
        in seconds; ``None`` until a majority has voted.
    """

    __slots__ = ("_votes", "safe_at")

    def __init__(self, now: float, *, is_first: bool) -> None:
        self._votes: dict[str, float] = {}
        self.safe_at: float | None = now if is_first else None

    def vote(self, name: str, echo: float) -> None:
        """
        Count a member's vote.

        :param echo: coordinator's time that the report echoes, in
            seconds; a lower one than before has no effect.
        """
        self._votes[name] = max(self._votes.get(name, 0.0), echo)

    def voters(self) -> set[str]:
        """Return the members that have voted in this term."""
        return set(self._votes)

    def until(self, voters: tuple[str, ...]) -> float:
        """
        Return the time until which the coordinator may act.

        :param voters: names of the members that form the quorum.
        :return: in seconds, 0 if there are no voters.
        """
        if not voters:
            return 0.0
        times = sorted(
            (self._votes.get(name, 0.0) for name in voters), reverse=True
        )
        return times[len(voters) // 2] + AUTHORITY_S

    def are_earlier_leases_expired(self, now: float) -> bool:
        """Return whether all leases of earlier coordinators expired."""
        return self.safe_at is not None and now > self.safe_at + MARGIN_S

    def note_majority(self, now: float, voters: tuple[str, ...]) -> None:
        """Start the wait for earlier leases once a majority voted."""
        if self.safe_at is None and self.until(voters) > now:
            self.safe_at = now + AUTHORITY_S * CLOCK_RATE
