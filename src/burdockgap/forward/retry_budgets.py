"""The retry budgets of all services."""

from __future__ import annotations

from burdockgap.forward.retry_share import RetryShare

_BUDGET_RATIO_SHARE = 0.35
_BUDGET_EXTRA_SHARE = 0.5
"""Shares of the common retry budget that the daemons use. The rest is
for calls that targets repeat when they rerun a request."""


class RetryBudgets:
    """
    This daemon's shares of the common retry budget, by service.

    :param ratio: retries per request that all daemons together may
        make.
    :param extra: additional retries that all daemons together may make.
    :param window_s: length of the budget's sliding window, in seconds.
    """

    __slots__ = ("_budgets", "_extra", "_ratio", "_window_s")

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio * _BUDGET_RATIO_SHARE
        self._extra = extra * _BUDGET_EXTRA_SHARE
        self._window_s = window_s
        self._budgets: dict[str, RetryShare] = {}

    def of(self, service: str) -> RetryShare:
        """Return the share of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryShare(
                ratio=self._ratio,
                extra=self._extra,
                window_s=self._window_s,
            )
        return budget
