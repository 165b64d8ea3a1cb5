"""This daemon's lease on the keys that it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.clock import Clock

LEASE_S = 1.5
"""Half of the 3 s within which keys must be served after a loss."""
AUTHORITY_S = 2.0
"""How long a coordinator may act on a majority's last reports."""
REPORT_INTERVAL_S = 0.3
"""A fifth of a lease: four reports in a row may be lost."""
CLOCK_RATE = 1.02
"""A target's clock may run 2 % slow."""
MARGIN_S = 0.03


class Lease:
    """
    How long the targets' grants may last, as the coordinator allows.

    :param clock: runs on through suspension.
    :ivar until: end of the lease on that clock, in seconds.
    """

    __slots__ = ("_clock", "until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.until = 0.0

    def extend(self, sent_at: float, lease_s: float) -> None:
        """
        Take an extension.

        :param sent_at: when the report was sent that it answers.
        :param lease_s: its length from then on, in seconds.
        """
        self.until = max(self.until, sent_at + lease_s)

    def hold_s(self) -> float:
        """Return the longest time for a grant that starts now."""
        return (self.until - self._clock.now()) / CLOCK_RATE - MARGIN_S
