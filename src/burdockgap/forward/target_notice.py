"""What a target says of itself in its responses."""

from __future__ import annotations


class TargetNotice:
    """
    A target's requests to the daemons, valid until its next response.

    :param rate_limit: requests per second that it takes from all
        daemons together, ``None`` if it names no limit.
    :param leaving: whether it is about to stop.
    """

    __slots__ = ("leaving", "rate_limit")

    def __init__(
        self, *, rate_limit: float | None = None, leaving: bool = False
    ) -> None:
        self.rate_limit = rate_limit
        self.leaving = leaving
