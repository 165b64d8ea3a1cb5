"""The daemon's lease on the keys that it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.clock import Clock

LEASE_S = 1.5
"""Half of the 3 s within which the keys of a failed owner must be
served again."""
AUTHORITY_S = 2.0
"""How long a coordinator may act after a majority's last reports."""
CONFIRMATION_S = 10.0
"""How long a coordinator may act after its last write to the store, or
after the last time at which all voters reported. Bounds an outage of
the store that it bears while a voter is silent."""
REPORT_INTERVAL_S = 0.3
"""A fifth of a lease, so that four successive reports may be lost."""
MAX_LAG_S = 3.0
"""Age above which each member has to know a revision of the assignment
to extend its lease, whether or not the revision concerns it."""
CLOCK_RATE = 1.02
"""A target's clock may run 2 % slow."""
MARGIN_S = 0.03


class Lease:
    """
    Lease from the coordinator; bounds the duration of grants.

    :param clock: keeps counting while the machine is suspended.
    :ivar until: end of the lease on that clock, in seconds.
    """

    __slots__ = ("_clock", "_lineage", "until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.until = 0.0
        self._lineage = 0

    def follow(self, lineage: int) -> None:
        """
        End the lease if the control state is of another lineage.

        The lease was for another assignment, which may name other
        owners than the one that is followed from now on.
        """
        if lineage != self._lineage:
            self._lineage = lineage
            self.until = 0.0

    def extend(self, sent_at: float, lease_s: float) -> None:
        """
        Extend the lease; it never becomes shorter.

        :param sent_at: when the answered report was sent, on the
            lease's clock, in seconds.
        :param lease_s: duration of the lease from then on, in seconds.
        """
        self.until = max(self.until, sent_at + lease_s)

    def hold_s(self) -> float:
        """
        Return the longest duration of a grant that starts now.

        In seconds; zero or negative if no grant is possible.
        """
        return (self.until - self._clock.now()) / CLOCK_RATE - MARGIN_S
