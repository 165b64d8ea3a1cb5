"""Budget that limits retries or hedges to a share of requests."""

from __future__ import annotations

_MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries or hedges drain."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS

    def earn(self, share: float) -> None:
        """Add ``share`` tokens for one request, up to the maximum."""
        self._tokens = min(self._tokens + share, _MAX_TOKENS)

    def spend(self) -> bool:
        """Take one token; return false if less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
