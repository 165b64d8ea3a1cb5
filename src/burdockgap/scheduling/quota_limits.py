"""
The numbers by which one daemon keeps an account's quota.

Load: many clients of one account, spread over all daemons, while some
daemons cannot reach each other.
"""

from __future__ import annotations

HOLDERS = 2
"""Daemons that pool an account's tokens. One of them may be lost
without a loss of more than half of the rate until it is noticed."""
POOL_INTERVAL_S = 0.25
"""Interval in which daemons pass tokens on to the holders."""
_LOCAL_SHARE = 0.35
"""Share of the unused tokens that may stay where they are created, if
that is a whole token per daemon. At a burst equal to the rate, it is
more than what is created in :data:`POOL_INTERVAL_S`."""
_LATE_FACTOR = 1.5
"""Intervals for which tokens may be kept until they are passed on, if a
daemon cannot have a whole one. At 3.2, 5 of 1,224 requests of an
account with 7/s were refused at 0.63 of its limit; at 1.5, none of
15,395."""


class QuotaBounds:
    """
    What the requests of all daemons together may exceed a quota by.

    In any window, at most (rate x window + burst) x (1 + overage) +
    slack requests of an account may arrive at servers.

    :param window_s: length of the window, in seconds.
    :param overage: relative excess.
    :param slack: absolute excess, in requests.
    """

    __slots__ = ("overage", "slack", "window_s")

    def __init__(
        self,
        *,
        window_s: float = 5.0,
        overage: float = 0.1,
        slack: float = 20.0,
    ) -> None:
        self.window_s = window_s
        self.overage = overage
        self.slack = slack

    def most(self, rate_per_s: float, burst: float) -> float:
        """Return the most requests that may arrive in a window."""
        return (rate_per_s * self.window_s + burst) * (
            1 + self.overage
        ) + self.slack


class QuotaLimits:
    """
    How many tokens of an account one daemon may create and keep.

    Every daemon creates an equal part of the account's rate, whether it
    can reach the others or not. The tokens of all daemons together are
    at most the burst and half of the slack, so that what is spent in a
    window is at most that and what is created in it. Half of the
    overage compensates for tokens that are lost on the way; the rest of
    overage and slack covers tokens on the way and daemons that do not
    know of each other yet.

    :param rate_per_s: the account's rate.
    :param burst: the account's burst.
    :param bounds: the permitted excess.
    :param known: number of daemons that may create tokens, this one and
        unreachable ones included.
    :ivar created_per_s: tokens that this daemon creates per second.
    :ivar local_cap: most tokens kept for own clients.
    :ivar pool_cap: most tokens kept as a holder for all daemons.
    """

    __slots__ = ("created_per_s", "local_cap", "pool_cap")

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        bounds: QuotaBounds,
        known: int,
    ) -> None:
        self.created_per_s = rate_per_s * (1 + bounds.overage / 2) / known
        kept = burst + bounds.slack / 2
        self.local_cap = kept * _LOCAL_SHARE / known
        if self.local_cap < 1.0:
            created = self.created_per_s * POOL_INTERVAL_S
            self.local_cap = min(self.local_cap, created * _LATE_FACTOR)
        pooled = kept - self.local_cap * known
        self.pool_cap = pooled / min(HOLDERS, known)
