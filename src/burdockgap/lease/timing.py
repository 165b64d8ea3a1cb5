"""Lease durations that all daemons of a cluster share."""

from __future__ import annotations

_DURATION_S = 1.2
_RENEW_S = 0.3
_MARGIN_S = 0.1


class LeaseTiming:
    """
    The durations of the lease protocol, equal at every daemon.

    :param duration_s: how long a lease lasts from the send time.
    :param renew_s: time between two renewals to one witness.
    :param margin_s: how long a witness waits beyond the duration.
    """

    __slots__ = ("duration_s", "margin_s", "renew_s")

    def __init__(
        self,
        *,
        duration_s: float = _DURATION_S,
        renew_s: float = _RENEW_S,
        margin_s: float = _MARGIN_S,
    ) -> None:
        self.duration_s = duration_s
        self.renew_s = renew_s
        self.margin_s = margin_s

    @property
    def expiry_s(self) -> float:
        """Time from a renewal's receipt to the witness's promise."""
        return self.duration_s + self.margin_s
