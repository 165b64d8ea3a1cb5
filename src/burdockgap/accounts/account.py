"""One client account."""

from __future__ import annotations


class Account:
    """
    A customer of the platform, to whom requests are attributed.

    :param name: the account's name, which servers get.
    :param priority: rank that takes precedence over the route's; 0 is
        the most urgent, ``None`` leaves the route's in force.
    :param rate_per_s: requests per second of all daemons together that
        may arrive at servers; 0 for no limit.
    :param burst: requests above the rate that may arrive at once.
    """

    __slots__ = ("burst", "name", "priority", "rate_per_s")

    def __init__(
        self,
        name: str,
        *,
        priority: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ) -> None:
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
