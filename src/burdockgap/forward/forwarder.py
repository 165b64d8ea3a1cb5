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

    from burdockgap.clock import Clock
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.forward.target_gate import TargetGate
    from burdockgap.hop.peer_connection import PeerConnections
    from burdockgap.routing.documents import Documents
    from burdockgap.routing.route import Route
    from burdockgap.shards.control_view import ControlView

_DEFAULT_TIMEOUT_S = 30.0
_REPLY_GRACE_S = 0.05
"""How long after the deadline a target's daemon may still reply."""
_FINAL_KEYED_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.RATE_LIMITED}
)
"""Not retried for a key: it has one owner, so no other target can serve
it when the owner has no room."""
_NO_ROOM_REASONS = frozenset({Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT})
"""After these the member is skipped until it is expected to have
room."""
_MAX_TRIES = 4
"""Daemons tried for one request; each refusal costs one round trip."""
_RETRY_DELAY_S = 0.03
_QUEUE_SHARE = 0.5
"""Share of the latency objective within which a queued request must
start."""
_GIVE_UP_SHARE = 0.2
"""Share of the latency objective after which a request that was sent to
no target is refused."""
_RETRY_AFTER_S = (0.1, 0.25)
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
    :ivar possible_runs: attempts that ran or may have run.
    :ivar tried: names of the members that were tried.
    """

    __slots__ = ("attempts", "error_response", "possible_runs", "tried")

    def __init__(self) -> None:
        self.attempts: list[list[Any]] = []
        self.tried: set[str] = set()
        self.possible_runs = 0
        self.error_response: Response | None = None


class Forwarder:
    """
    Forwards callers' requests to targets and returns the responses.

    :param roster: the members.
    :param documents: the configuration.
    :param view: owners of keys.
    :param gate: admission control for this daemon's target.
    :param peer_connections: connections to other daemons.
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
        clock: Clock,
        budget_ratio: float,
        budget_extra: float,
        budget_window_s: float,
        on_event: Callable[[str, dict[str, object]], None],
        on_answer: Callable[[int, float], None],
    ) -> None:
        self._on_answer = on_answer
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
        self.in_flight += 1
        progress = _Progress()
        try:
            response = await self._run(
                req, route, service, progress, is_keyed=is_keyed
            )
        except asyncio.CancelledError:
            self._log(req, route, service, progress, None, config.version)
            raise
        finally:
            self.in_flight -= 1
        self._log(req, route, service, progress, response, config.version)
        return response

    async def _run(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        progress: _Progress,
        *,
        is_keyed: bool,
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
            priority=route.priority,
            deadline_s=deadline - req.arrived_at,
            patience_s=0.0,
            sender=self._roster.own.incarnation,
        )
        last = Outcome(Verdict.NOT_RUN, reason=Reason.NO_OWNER)
        give_up_at = min(
            deadline, req.arrived_at + route.objective_s * _GIVE_UP_SHARE
        )
        while True:
            member = await self._choose(call, route, progress, give_up_at)
            now = self._loop.time()
            if member is None or now >= deadline:
                return self._failure_response(progress, last)
            call.deadline_s = deadline - now
            waited_s = now - req.arrived_at
            call.patience_s = max(
                route.objective_s * _QUEUE_SHARE - waited_s, 0.0
            )
            call.attempt = len(progress.attempts) + 1
            last = await self._attempt(member, call, progress)
            response = self._final_response(last, route, progress)
            if response is not None:
                return response
            if is_keyed and _is_final_for_key(last, route):
                return self._failure_response(progress, last)
            if not self._may_retry(last, route, service, progress, give_up_at):
                return self._failure_response(progress, last)

    async def _choose(
        self,
        call: Call,
        route: Route,
        progress: _Progress,
        give_up_at: float,
    ) -> Member | None:
        """Return the next member to try, after a wait if needed."""
        while len(progress.attempts) < _MAX_TRIES:
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
        if member.name == self._roster.own.name:
            outcome = await self._gate.serve(call)
        else:
            outcome = await self._call_member(member, call)
        if outcome.verdict is not Verdict.NOT_RUN:
            progress.possible_runs += 1
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
        except ValueError as exc:
            self._on_event(
                "bad_reply", {"id": call.request_id, "why": str(exc)}
            )
            return Outcome(
                Verdict.MAY_HAVE_RUN, reason=Reason.TRUNCATED, sent=True
            )

    async def _settle(
        self, member: Member, call: Call, reply_deadline: float
    ) -> Outcome:
        """Ask for the outcome of a call whose connection was lost."""
        payload = [member.incarnation, call.request_id, call.attempt]
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
        self, progress: _Progress, last: Outcome
    ) -> Response:
        """Return the response to a request that is not retried."""
        if progress.error_response is not None:
            return self._without_hop_headers(progress.error_response)
        if progress.possible_runs:
            status = 504 if last.reason is Reason.DEADLINE else 502
            return Response(status)
        pause_s = max(last.retry_after_s, random.uniform(*_RETRY_AFTER_S))
        return Response(503, [("Retry-After", f"{pause_s:.3f}")])

    def _without_hop_headers(self, response: Response) -> Response:
        return Response(
            response.status, end_to_end(response.headers), response.body
        )

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
    return is_spent or outcome.reason in _FINAL_KEYED_REASONS


def _deadline(req: CallerRequest, route: Route) -> float:
    """Return a request's deadline, on the event loop's clock."""
    wait_s = min(req.wait_s or _DEFAULT_TIMEOUT_S, route.timeout_s)
    return req.arrived_at + wait_s
