"""Attribution of requests to accounts, and admission within quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.accounts.account_decision import AccountDecision

if TYPE_CHECKING:
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.routing.route import Route
    from burdockgap.routing.routing_config import RoutingConfig

_UNAUTHORIZED = 401


class AccountAdmission:
    """Decides whose request this is and whether it may be sent."""

    __slots__ = ()

    def check(
        self, req: CallerRequest, route: Route, config: RoutingConfig
    ) -> AccountDecision:
        """
        Return the account of a request or the reason of a refusal.

        Without accounts in the configuration, every request is admitted
        and none has an account.
        """
        if config.accounts is None:
            return AccountDecision()
        if req.credential is None:
            if route.allow_anonymous:
                return AccountDecision()
            return AccountDecision(
                status=_UNAUTHORIZED, why="the request has no key"
            )
        account = config.accounts.find(req.credential)
        if account is None:
            return AccountDecision(
                status=_UNAUTHORIZED, why="the request's key is unknown"
            )
        return AccountDecision(account)
