"""Settings of the section ``[lease]``."""

from __future__ import annotations


class LeaseSettings:
    """
    Leases and their witnesses.

    :param duration_s: length of a lease.
    :param renew_s: time between renewals.
    :param margin_s: time that a witness waits beyond the duration, for
        drift between clocks.
    :param witnesses: number of witnesses of a session.
    """

    __slots__ = (
        "duration_s",
        "margin_s",
        "renew_s",
        "witnesses",
    )

    def __init__(
        self,
        *,
        duration_s: float,
        renew_s: float,
        margin_s: float,
        witnesses: int,
    ) -> None:
        self.duration_s = duration_s
        self.renew_s = renew_s
        self.margin_s = margin_s
        self.witnesses = witnesses
