"""The result of the check of a request's account."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.accounts.account import Account


class AccountDecision:
    """
    The account of a request, or why the request is refused.

    :param account: the account, ``None`` if the request has none.
    :param status: status of the refusal; 0 if the request is admitted.
    :param why: the cause of the refusal, for the log.
    :param retry_after_s: delay after which the request may succeed, in
        seconds.
    """

    __slots__ = ("account", "retry_after_s", "status", "why")

    def __init__(
        self,
        account: Account | None = None,
        *,
        status: int = 0,
        why: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        self.account = account
        self.status = status
        self.why = why
        self.retry_after_s = retry_after_s
