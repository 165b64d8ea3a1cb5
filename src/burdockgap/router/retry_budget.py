"""A limit on retries and hedges as a share of the traffic."""

from __future__ import annotations

_BURST = 10.0


class RetryBudget:
    """Tokens that requests earn and retries spend."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _BURST

    def earn(self, share: float) -> None:
        """Account for one request, which earns ``share`` tokens."""
        self._tokens = min(self._tokens + share, _BURST)

    def spend(self) -> bool:
        """Take a token for one retry; false if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
