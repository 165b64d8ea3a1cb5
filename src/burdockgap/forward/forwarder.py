"""Forwarding of callers' requests to targets, with retries."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.forward.attempts import Attempts, deadline_of
from burdockgap.forward.chooser import Chooser
from burdockgap.forward.final_responses import RETRY_AFTER_S
from burdockgap.forward.member_calls import REPLY_GRACE_S, MemberCalls
from burdockgap.forward.progress import Progress
from burdockgap.forward.retry_budgets import RetryBudgets
from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.accounts.admission import AccountAdmission
    from burdockgap.clock import Clock
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.target_gate import TargetGate
    from burdockgap.hop.peer_connections import PeerConnections
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.routing.routing_config import RoutingConfig
    from burdockgap.shards.control_view import ControlView


class Forwarder:
    """
    Forwards callers' requests to targets and returns the responses.

    :param roster: the members.
    :param documents: the configuration.
    :param view: owners of keys.
    :param gate: admission control for this daemon's target.
    :param crashes: knows the requests that crash targets.
    :param peer_connections: connections to other daemons.
    :param accounts: attributes requests to accounts.
    :param clock: keeps counting while the machine is suspended.
    :param budget_ratio: retries per request that all daemons together
        may make.
    :param budget_extra: additional retries that all daemons together
        may make.
    :param budget_window_s: length of the budget's sliding window, in
        seconds.
    :param on_event: logs a decision.
    :param on_answer: counts a response's status and duration in
        seconds.
    :ivar in_flight: callers' requests that are being served.
    :ivar closed: whether new requests are refused.
    :ivar ends_at: when the process ends, on the event loop's clock;
        non-idempotent requests that may take longer are refused.
    :ivar idempotent_ends_at: the same for idempotent requests.
    """

    __slots__ = (
        "_accounts",
        "_attempts",
        "_documents",
        "_gate",
        "_loop",
        "_on_answer",
        "_on_event",
        "_view",
        "closed",
        "ends_at",
        "idempotent_ends_at",
        "in_flight",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        documents: Documents,
        view: ControlView,
        gate: TargetGate,
        crashes: CrashWatch,
        peer_connections: PeerConnections,
        accounts: AccountAdmission,
        clock: Clock,
        budget_ratio: float,
        budget_extra: float,
        budget_window_s: float,
        on_event: Callable[[str, dict[str, object]], None],
        on_answer: Callable[[int, float], None],
    ) -> None:
        self._on_answer = on_answer
        self._accounts = accounts
        self._loop = asyncio.get_running_loop()
        self._documents = documents
        self._view = view
        self._gate = gate
        self._attempts = Attempts(
            roster=roster,
            chooser=Chooser(roster=roster, documents=documents, view=view),
            gate=gate,
            crashes=crashes,
            member_calls=MemberCalls(
                roster=roster,
                peer_connections=peer_connections,
                clock=clock,
                on_event=on_event,
            ),
            budgets=RetryBudgets(
                ratio=budget_ratio,
                extra=budget_extra,
                window_s=budget_window_s,
            ),
            accounts=accounts,
        )
        self._on_event = on_event
        self.in_flight = 0
        self.closed = False
        self.ends_at = self.idempotent_ends_at = math.inf

    def is_idempotent(self, host: str, path: str) -> bool:
        """Return whether requests to a host and path may run twice."""
        config = self._documents.config
        route = config.find(host, path) if config is not None else None
        return route is not None and route.idempotent

    async def serve(self, req: CallerRequest) -> Response:
        """Forward a caller's request and return the response."""
        config = self._documents.config
        if self.closed:
            return self._refuse(req, 503, "the daemon is shutting down")
        if config is None:
            return self._refuse(
                req, 503, "no configuration has been received yet"
            )
        route = config.find(req.host, req.path)
        if route is None:
            return self._refuse(
                req,
                404,
                "no route matches the host and path",
                config=config.version,
            )
        if deadline_of(req, route) + REPLY_GRACE_S > (
            self.idempotent_ends_at if route.idempotent else self.ends_at
        ):
            return self._refuse(
                req, 503, "the daemon ends before the request's deadline"
            )
        service = route.pick_service()
        policy = config.services.get(service)
        is_keyed = policy is not None and policy.keyed
        if is_keyed and req.key is None:
            return self._refuse(
                req, 400, "the service requires a key; the request has none"
            )
        refusal = await self._attribute(req, route, config)
        if refusal is not None:
            return refusal
        self.in_flight += 1
        progress = Progress()
        try:
            with self._gate.running.nested(req.request_id) as nested:
                response = await self._attempts.run(
                    req,
                    route,
                    service,
                    progress,
                    is_keyed=is_keyed,
                    nested=nested,
                )
        except asyncio.CancelledError:
            self._log(req, route, service, progress, None, config.version)
            raise
        finally:
            self.in_flight -= 1
            self._settle_token(req, progress)
        self._log(req, route, service, progress, response, config.version)
        return response

    async def _attribute(
        self, req: CallerRequest, route: Route, config: RoutingConfig
    ) -> Response | None:
        """Set a request's account; return a refusal if there is one."""
        if config.accounts is None:
            return None
        req.headers = req.headers_without_account
        decision = await self._accounts.check(req, route, config)
        if not decision.status:
            req.account = decision.account
            return None
        response = self._refuse(req, decision.status, decision.why)
        if decision.retry_after_s:
            pause = f"{decision.retry_after_s:.3f}"
            response.headers.append(("Retry-After", pause))
        return response

    def _settle_token(self, req: CallerRequest, progress: Progress) -> None:
        if progress.has_token:
            self._accounts.give_back(req.account)

    def _refuse(
        self, req: CallerRequest, status: int, why: str, **fields: object
    ) -> Response:
        fields.update(id=req.request_id, status=status, why=why, path=req.path)
        self._on_event("refused", fields)
        headers = []
        if status == 401:
            headers = [("WWW-Authenticate", "Bearer")]
        if status == 503:
            headers = [("Retry-After", f"{RETRY_AFTER_S[1]:.3f}")]
        return Response(status, headers)

    def _log(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        progress: Progress,
        response: Response | None,
        version: int,
    ) -> None:
        took_s = self._loop.time() - req.arrived_at
        if response is not None:
            self._on_answer(response.status, took_s)
        self._on_event(
            "request",
            {
                "id": req.request_id,
                "route": route.name,
                "service": service,
                "key": req.key,
                "account": req.account.name if req.account else None,
                "config": version,
                "control": self._view.version,
                "attempts": progress.attempts,
                "status": response.status if response else "caller left",
                "ms": round(took_s * 1000, 1),
            },
        )
