"""Forwarding of callers' requests to targets, with retries."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any

from burdockgap.forward.call import Call
from burdockgap.forward.chooser import Chooser
from burdockgap.forward.outcome import Outcome
from burdockgap.forward.retry_share import RetryShare
from burdockgap.hop.call_kinds import FORWARD, GET_OUTCOME
from burdockgap.hop.peer_call_error import PeerCallError
from burdockgap.http1.encode import end_to_end
from burdockgap.http1.response import Response
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.accounts.admission import AccountAdmission
    from burdockgap.clock import Clock
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.forward.target_gate import TargetGate
    from burdockgap.hop.peer_connection import PeerConnections
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.routing.routing_config import RoutingConfig
    from burdockgap.shards.control_view import ControlView

_DEFAULT_TIMEOUT_S = 30.0
_REPLY_GRACE_S = 0.05
"""How long after the deadline a target's daemon may still reply."""
_NO_ROOM_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.RATE_LIMITED}
)
"""The target has no room. Not retried for a key: it has one owner, so
no other target can serve it."""
_MAX_TRIES = 4
"""Daemons tried for one request; each refusal costs one round trip."""
_MAX_NESTED_TRIES = 12
"""The same for a call of a running request, whose refusal loses the
work on that request, too."""
_RETRY_DELAY_S = 0.03
_PATIENCE_SHARE = 0.5
"""Share of the latency objective within which the key of a request must
be granted."""
_GIVE_UP_SHARE = 0.2
"""Share of the latency objective after which a request that was sent to
no target is refused."""
_RETRY_AFTER_S = (0.1, 0.25)
_SPREAD = (1.0, 1.2)
"""Separates the returns of callers that are told the shortest time."""
_HONOURED_SHARE = 1 / 3
"""Share of its remaining time that a caller waits at most."""
_SERVER_ERROR = 500
_BUDGET_RATIO_SHARE = 0.35
_BUDGET_EXTRA_SHARE = 0.5
"""Shares of the common retry budget that the daemons use. The rest is
for calls that targets repeat when they rerun a request."""


class _Progress:
    """
    The attempts made for one request.

    :ivar attempts: per attempt the member, the verdict, the reason, the
        duration in milliseconds and the age in milliseconds of the load
        report by which the member was chosen.
    :ivar error_response: the last server error in response to an
        idempotent request.
    :ivar has_token: whether the request's token of its account's quota
        is unused: no attempt since it was taken has reached a server.
    :ivar possible_runs: attempts that ran or may have run.
    :ivar retry_after_s: the shortest time after which a target that had
        no room expects to have some, infinite if there was none.
    :ivar tried: names of the members that were tried.
    """

    __slots__ = (
        "attempts",
        "error_response",
        "has_token",
        "possible_runs",
        "retry_after_s",
        "tried",
    )

    def __init__(self) -> None:
        self.attempts: list[list[Any]] = []
        self.tried: set[str] = set()
        self.has_token = True
        self.possible_runs = 0
        self.retry_after_s = math.inf
        self.error_response: Response | None = None


class Forwarder:
    """
    Forwards callers' requests to targets and returns the responses.

    :param roster: the members.
    :param documents: the configuration.
    :param view: owners of keys.
    :param gate: admission control for this daemon's target.
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
        "_budget_extra",
        "_budget_ratio",
        "_budget_window_s",
        "_budgets",
        "_chooser",
        "_clock",
        "_documents",
        "_gate",
        "_peer_connections",
        "_loop",
        "_on_answer",
        "_on_event",
        "_roster",
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
        self._roster = roster
        self._documents = documents
        self._view = view
        self._chooser = Chooser(roster=roster, documents=documents, view=view)
        self._gate = gate
        self._peer_connections = peer_connections
        self._clock = clock
        self._budget_ratio = budget_ratio * _BUDGET_RATIO_SHARE
        self._budget_extra = budget_extra * _BUDGET_EXTRA_SHARE
        self._budget_window_s = budget_window_s
        self._budgets: dict[str, RetryShare] = {}
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
        if _deadline(req, route) + _REPLY_GRACE_S > (
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
        progress = _Progress()
        try:
            with self._gate.running.nested(req.request_id) as nested:
                response = await self._run(
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

    def _settle_token(self, req: CallerRequest, progress: _Progress) -> None:
        if progress.has_token:
            self._accounts.give_back(req.account)

    async def _run(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        progress: _Progress,
        *,
        is_keyed: bool,
        nested: bool,
    ) -> Response:
        deadline = _deadline(req, route)
        self._budget(service).note_request(self._loop.time())
        call = Call(
            request_id=req.request_id,
            method=req.method,
            target=req.target,
            headers=req.headers,
            body=req.body,
            service=service,
            origin=self._roster.own.service,
            key=req.key if is_keyed else None,
            idempotent=route.idempotent,
            large=route.large,
            priority=_priority(req, route),
            deadline_s=deadline - req.arrived_at,
            patience_s=0.0,
            sender=self._roster.own.incarnation,
            account=req.account.name if req.account else "",
            route=route.name,
            nested=nested,
        )
        last = Outcome(Verdict.NOT_RUN, reason=Reason.NO_OWNER)
        give_up_at = deadline
        if not nested:
            give_up_s = route.objective_s * _GIVE_UP_SHARE
            give_up_at = min(deadline, req.arrived_at + give_up_s)
        while True:
            member = await self._choose(call, route, progress, give_up_at)
            now = self._loop.time()
            if member is None or now >= deadline:
                return self._failure_response(progress, last, deadline)
            call.deadline_s = deadline - now
            waited_s = now - req.arrived_at
            call.patience_s = max(
                route.objective_s * _PATIENCE_SHARE - waited_s, 0.0
            )
            call.objective_s = route.objective_s - waited_s
            call.attempt = len(progress.attempts) + 1
            last = await self._attempt(member, call, progress)
            response = self._final_response(last, route, progress)
            if response is not None:
                return response
            if is_keyed and _is_final_for_key(last, route):
                return self._failure_response(progress, last, deadline)
            if not await self._may_try_again(
                req, last, route, service, progress, give_up_at
            ):
                return self._failure_response(progress, last, deadline)

    async def _may_try_again(
        self,
        req: CallerRequest,
        last: Outcome,
        route: Route,
        service: str,
        progress: _Progress,
        give_up_at: float,
    ) -> bool:
        """Return whether there is all that another attempt needs."""
        if not self._may_retry(last, route, service, progress, give_up_at):
            return False
        if not progress.has_token:
            # The last attempt reached a server and has used it.
            progress.has_token = await self._accounts.admit_retry(req.account)
        return progress.has_token

    async def _choose(
        self,
        call: Call,
        route: Route,
        progress: _Progress,
        give_up_at: float,
    ) -> Member | None:
        """Return the next member to try, after a wait if needed."""
        max_tries = _MAX_NESTED_TRIES if call.nested else _MAX_TRIES
        while len(progress.attempts) < max_tries:
            if call.key is None:
                member = self._chooser.best(
                    call.service, route, progress.tried
                )
            else:
                if progress.attempts:
                    # The last owner has a newer assignment, which may
                    # not have arrived here yet.
                    await asyncio.sleep(_RETRY_DELAY_S)
                member = self._chooser.owner(call.service, call.key)
            tried_all = call.key is None and bool(progress.attempts)
            if member is not None or tried_all:
                return member
            if self._loop.time() >= give_up_at:
                return None
            await asyncio.sleep(_RETRY_DELAY_S)
        return None

    async def _attempt(
        self, member: Member, call: Call, progress: _Progress
    ) -> Outcome:
        began = self._loop.time()
        load_age_s = self._roster.load_age_s(member.name)
        progress.tried.add(member.name)
        # Until the outcome shows otherwise, also if it is cancelled.
        progress.has_token = False
        if member.name == self._roster.own.name:
            outcome = await self._gate.serve(call)
        else:
            outcome = await self._call_member(member, call)
        progress.has_token = not outcome.sent
        if outcome.verdict is not Verdict.NOT_RUN:
            progress.possible_runs += 1
        elif outcome.reason in _NO_ROOM_REASONS:
            progress.retry_after_s = min(
                progress.retry_after_s, outcome.retry_after_s
            )
        progress.attempts.append(
            [
                member.name,
                outcome.verdict.value,
                outcome.reason.value if outcome.reason else None,
                round((self._loop.time() - began) * 1000, 1),
                round(load_age_s * 1000),
            ]
        )
        return outcome

    async def _call_member(self, member: Member, call: Call) -> Outcome:
        sent_at = self._roster.note_call(member.name)
        try:
            outcome = await self._exchange(member, call)
        finally:
            self._roster.note_call_ended(member.name, sent_at)
        if outcome.load_error is not None:
            self._roster.reject_load(member.name, outcome.load_error)
        if outcome.load is not None:
            self._roster.note_load(
                member.name, outcome.load, member.incarnation
            )
        if outcome.notice is not None:
            self._roster.note_notice(member.name, outcome.notice)
        if outcome.reason in _NO_ROOM_REASONS:
            self._roster.note_refusal(member.name)
        return outcome

    async def _exchange(self, member: Member, call: Call) -> Outcome:
        call.notice = self._roster.notice(member.name)
        call.sent_at = self._clock.now()
        reply_deadline = self._loop.time() + call.deadline_s + _REPLY_GRACE_S
        try:
            async with asyncio.timeout_at(reply_deadline):
                reply = await self._peer_connections.call(
                    member.address, FORWARD, call.encode()
                )
            return Outcome.decode(reply)
        except TimeoutError:
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.DEADLINE, sent=True
            )
        except PeerCallError as exc:
            return await self._failed_call(member, call, exc, reply_deadline)
        except ValueError as exc:
            self._on_event(
                "bad_reply", {"id": call.request_id, "why": str(exc)}
            )
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, sent=True
            )

    async def _failed_call(
        self,
        member: Member,
        call: Call,
        exc: PeerCallError,
        reply_deadline: float,
    ) -> Outcome:
        """Return the outcome of a call that got no reply."""
        if not exc.peer_is_alive:
            self._roster.mark_unreachable(member.name)
        if not exc.sent:
            return Outcome(Verdict.NOT_RUN, reason=Reason.UNREACHABLE)
        if call.idempotent:
            return Outcome(
                Verdict.MAY_HAVE_RUN,
                reason=Reason.CONNECTION_LOST,
                sent=True,
            )
        return await self._settle(member, call, reply_deadline)

    async def _settle(
        self, member: Member, call: Call, reply_deadline: float
    ) -> Outcome:
        """Ask for the outcome of a call whose connection was lost."""
        payload = [member.incarnation, call.run_id, call.attempt]
        while self._loop.time() < reply_deadline:
            try:
                async with asyncio.timeout_at(reply_deadline):
                    reply = await self._peer_connections.call(
                        member.address, GET_OUTCOME, payload
                    )
                if reply is None:
                    break
                return Outcome.decode(reply)
            except TimeoutError:
                break
            except PeerCallError:
                await asyncio.sleep(_RETRY_DELAY_S)
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, sent=True
        )

    def _final_response(
        self, outcome: Outcome, route: Route, progress: _Progress
    ) -> Response | None:
        response = outcome.response
        if response is None:
            return None
        if response.status < _SERVER_ERROR or not route.idempotent:
            return self._without_hop_headers(response)
        progress.error_response = response
        return None

    def _may_retry(
        self,
        outcome: Outcome,
        route: Route,
        service: str,
        progress: _Progress,
        give_up_at: float,
    ) -> bool:
        if outcome.verdict is Verdict.NOT_RUN:
            if not outcome.sent:
                return (
                    progress.possible_runs > 0
                    or self._loop.time() < give_up_at
                )
        elif (
            not route.idempotent
            or progress.possible_runs >= route.max_attempts
        ):
            return False
        if outcome.reason is Reason.DEADLINE:
            return False
        return self._budget(service).spend(
            self._loop.time(), len(self._roster.live())
        )

    def _failure_response(
        self, progress: _Progress, last: Outcome, deadline: float
    ) -> Response:
        """Return the response to a request that is not retried."""
        if progress.error_response is not None:
            return self._without_hop_headers(progress.error_response)
        if progress.possible_runs:
            status = 504 if last.reason is Reason.DEADLINE else 502
            return Response(status)
        pause_s = max(last.retry_after_s, random.uniform(*_RETRY_AFTER_S))
        if math.isfinite(progress.retry_after_s):
            # The target that has room first determines the time.
            pause_s = max(progress.retry_after_s, _RETRY_AFTER_S[0])
            pause_s *= random.uniform(*_SPREAD)
        left_s = deadline - self._loop.time()
        pause_s = max(
            min(pause_s, left_s * _HONOURED_SHARE), _RETRY_AFTER_S[0]
        )
        return Response(503, [("Retry-After", f"{pause_s:.3f}")])

    def _without_hop_headers(self, response: Response) -> Response:
        stripped = Response(
            response.status, end_to_end(response.headers), response.body
        )
        stripped.charge = response.charge
        return stripped

    def _budget(self, service: str) -> RetryShare:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryShare(
                ratio=self._budget_ratio,
                extra=self._budget_extra,
                window_s=self._budget_window_s,
            )
        return budget

    def _refuse(
        self, req: CallerRequest, status: int, why: str, **fields: object
    ) -> Response:
        fields.update(id=req.request_id, status=status, why=why, path=req.path)
        self._on_event("refused", fields)
        headers = []
        if status == 401:
            headers = [("WWW-Authenticate", "Bearer")]
        if status == 503:
            headers = [("Retry-After", f"{_RETRY_AFTER_S[1]:.3f}")]
        return Response(status, headers)

    def _log(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        progress: _Progress,
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


def _is_final_for_key(outcome: Outcome, route: Route) -> bool:
    """Return whether no other attempt for the key can succeed."""
    # The owner's daemon sends it no non-idempotent request twice.
    is_spent = outcome.sent and not route.idempotent
    return is_spent or outcome.reason in _NO_ROOM_REASONS


def _priority(req: CallerRequest, route: Route) -> int:
    """Return the rank of the request's account, else of its route."""
    if req.account is None or req.account.priority is None:
        return route.priority
    return req.account.priority


def _deadline(req: CallerRequest, route: Route) -> float:
    """Return a request's deadline, on the event loop's clock."""
    wait_s = min(req.wait_s or _DEFAULT_TIMEOUT_S, route.timeout_s)
    return req.arrived_at + wait_s
