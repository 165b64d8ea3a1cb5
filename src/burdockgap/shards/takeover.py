"""The wait before a member replaces voters without their majority."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.lease import CLOCK_RATE, CONFIRMATION_S

if TYPE_CHECKING:
    from burdockgap.metadata.keyed_store import Position

_MARGIN_S = 0.3
VOTER_WAIT_S = CONFIRMATION_S * CLOCK_RATE + _MARGIN_S
"""After this time without a write, no coordinator acts that this voter
does not report to, and all its leases have expired."""
OTHER_WAIT_S = 120.0
"""The same for a member that is no voter. A coordinator whose voters
all report may act without the store for longer than that; this is only
for a site whose voters will not return."""


class TakeoverWait:
    """
    Decides when a member may replace the voters on its own.

    It has to be certain that the recorded coordinator no longer acts. A
    coordinator that does not hear all voters writes the state regularly
    (:class:`~burdockgap.shards.authority.Authority`). So this member
    waits for a time in which the coordinator did not answer it and the
    stored state did not change, and then writes with the condition that
    it still has not.
    """

    __slots__ = (
        "_not_before",
        "_position",
        "_unchanged_since",
        "_version",
        "_version_since",
    )

    def __init__(self) -> None:
        self._position: Position | None = None
        self._unchanged_since = 0.0
        self._version = (0, 0)
        self._version_since = 0.0
        self._not_before = 0.0

    def note_version(self, version: tuple[int, int], now: float) -> None:
        """Note the newest state that this member knows, from anyone."""
        if version != self._version:
            self._version = version
            self._version_since = now

    def note_position(
        self,
        position: Position,
        version: tuple[int, int] | None,
        now: float,
    ) -> None:
        """
        Note where the stored state ends.

        :param position: after a read or a write of this member.
        :param version: version of the stored state, ``None`` if the
            store may have lost later ones.
        :param now: when the call was complete, in seconds.
        """
        if position == self._position:
            return
        self._position = position
        is_known = version == self._version
        self._unchanged_since = self._version_since if is_known else now

    def is_over(
        self, now: float, *, answered_at: float, is_voter: bool
    ) -> bool:
        """
        Return whether this member may replace the voters.

        :param answered_at: when the coordinator last answered, in
            seconds.
        :param is_voter: whether this member is one of the voters.
        """
        wait_s = VOTER_WAIT_S if is_voter else OTHER_WAIT_S
        self._not_before = max(self._unchanged_since, answered_at) + wait_s
        return now >= self._not_before

    def is_known_to_last(self, now: float) -> bool:
        """Return whether the last result of ``is_over`` still holds."""
        return now < self._not_before
