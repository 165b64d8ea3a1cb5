"""Permission to dispatch one request."""

from __future__ import annotations


class Permit:
    """
    Proof that the daemon may give a request to its target now.

    The issuer moves ``expires_at`` on while the lease is renewed, so
    that work longer than a lease is not cut off; the gate cancels work
    whose permit has expired.

    :param unit: the unit of a keyed request, else ``None``.
    :param epoch: the unit's epoch, zero for unkeyed requests.
    :param expires_at: clock time at which the lease ends, in seconds.
    """

    __slots__ = ("epoch", "expires_at", "unit")

    def __init__(
        self, *, unit: int | None, epoch: int, expires_at: float
    ) -> None:
        self.unit = unit
        self.epoch = epoch
        self.expires_at = expires_at
