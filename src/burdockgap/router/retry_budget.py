"""A limit on retries and hedges as a share of the traffic."""

from __future__ import annotations

_BURST = 10.0


class RetryBudget:
    """
    Tokens that requests earn and retries spend.

    :param share: tokens earned by each request.
    """

    __slots__ = ("_share", "_tokens")

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _BURST

    def earn(self) -> None:
        """Account for one request."""
        self._tokens = min(self._tokens + self._share, _BURST)

    def spend(self) -> bool:
        """Take a token for one retry; false if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
