"""Attribution of requests to accounts, and admission within quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.accounts.account_decision import AccountDecision

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.accounts.account import Account
    from burdockgap.accounts.key_directory import KeyDirectory
    from burdockgap.accounts.quotas import Quotas
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.routing.route import Route
    from burdockgap.routing.routing_config import RoutingConfig

_UNAUTHORIZED = 401
_TOO_MANY_REQUESTS = 429


class AccountAdmission:
    """
    Decides whose request this is and whether it may be sent.

    :param quotas: this daemon's part of the accounts' quotas.
    :param on_decision: counts a decision; there are six kinds.
    """

    __slots__ = ("_on_decision", "_quotas")

    def __init__(
        self, quotas: Quotas, *, on_decision: Callable[[str], None]
    ) -> None:
        self._quotas = quotas
        self._on_decision = on_decision

    async def check(
        self, req: CallerRequest, route: Route, config: RoutingConfig
    ) -> AccountDecision:
        """
        Return the account of a request or the reason of a refusal.

        An admitted request has a token of its account's quota. Without
        accounts in the configuration, every request is admitted and
        none has an account.
        """
        if config.accounts is None:
            return AccountDecision()
        decision = identify(req, route, config.accounts)
        account = decision.account
        if account is None:
            self._on_decision(decision.why or "anonymous")
            return decision
        return_after_s = await self._quotas.acquire(account)
        if return_after_s:
            self._on_decision("above quota")
            return AccountDecision(
                account,
                status=_TOO_MANY_REQUESTS,
                why="above quota",
                retry_after_s=return_after_s,
            )
        self._on_decision("admitted")
        return AccountDecision(account)

    async def admit_retry(self, account: Account | None) -> bool:
        """Take a token for another attempt; return if it may run."""
        if account is None or not await self._quotas.acquire(account):
            return True
        self._on_decision("retry above quota")
        return False

    def give_back(self, account: Account | None) -> None:
        """Return the token of an attempt that reached no server."""
        if account is not None:
            self._quotas.give_back(account)


def identify(
    req: CallerRequest, route: Route, accounts: KeyDirectory
) -> AccountDecision:
    """
    Return the account of a request or why it has none.

    Takes no token and counts nothing, so it also serves queries.
    """
    if req.credential is None:
        if route.allow_anonymous:
            return AccountDecision()
        return AccountDecision(status=_UNAUTHORIZED, why="no key")
    account = accounts.find(req.credential)
    if account is None:
        return AccountDecision(status=_UNAUTHORIZED, why="unknown key")
    return AccountDecision(account)
