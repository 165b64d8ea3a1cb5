"""The attempts at one request, at one target after the other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.call import Call
from burdockgap.forward.final_responses import (
    failure_response,
    final_response,
)
from burdockgap.forward.no_room_reasons import NO_ROOM_REASONS
from burdockgap.forward.outcome import Outcome
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from burdockgap.accounts.admission import AccountAdmission
    from burdockgap.fleet.member import Member
    from burdockgap.fleet.roster import Roster
    from burdockgap.forward.caller_request import CallerRequest
    from burdockgap.forward.chooser import Chooser
    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.member_calls import MemberCalls
    from burdockgap.forward.progress import Progress
    from burdockgap.forward.retry_budgets import RetryBudgets
    from burdockgap.forward.target_gate import TargetGate
    from burdockgap.http1.response import Response
    from burdockgap.routing.route import Route

_DEFAULT_TIMEOUT_S = 30.0
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


class Attempts:
    """
    Tries targets for a request.

    :param roster: the members.
    :param chooser: chooses the targets.
    :param gate: admission control for this daemon's target.
    :param crashes: knows the requests that crash targets.
    :param member_calls: calls to other daemons.
    :param budgets: bounds the retries.
    :param accounts: admits retries to the quotas of accounts.
    """

    __slots__ = (
        "_accounts",
        "_budgets",
        "_chooser",
        "_crashes",
        "_gate",
        "_loop",
        "_member_calls",
        "_roster",
    )

    def __init__(
        self,
        *,
        roster: Roster,
        chooser: Chooser,
        gate: TargetGate,
        crashes: CrashWatch,
        member_calls: MemberCalls,
        budgets: RetryBudgets,
        accounts: AccountAdmission,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._roster = roster
        self._chooser = chooser
        self._gate = gate
        self._crashes = crashes
        self._member_calls = member_calls
        self._budgets = budgets
        self._accounts = accounts

    async def run(
        self,
        req: CallerRequest,
        route: Route,
        service: str,
        progress: Progress,
        *,
        is_keyed: bool,
        nested: bool,
    ) -> Response:
        """
        Try targets until one responds or no attempt is left.

        :param progress: receives the attempts.
        :param is_keyed: whether the service has keys.
        :param nested: whether a running request has made the request.
        """
        deadline = deadline_of(req, route)
        self._budgets.of(service).note_request(self._loop.time())
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
        left_s = self._crashes.blocked_for_s(call)
        if left_s > 0:
            return self._refuse_quarantined(progress, left_s, deadline)
        last = Outcome(Verdict.NOT_RUN, reason=Reason.NO_OWNER)
        give_up_at = deadline
        if not nested:
            give_up_s = route.objective_s * _GIVE_UP_SHARE
            give_up_at = min(deadline, req.arrived_at + give_up_s)
        while True:
            member = await self._choose(call, route, progress, give_up_at)
            now = self._loop.time()
            if member is None or now >= deadline:
                return self._fail(progress, last, deadline)
            call.deadline_s = deadline - now
            waited_s = now - req.arrived_at
            call.patience_s = max(
                route.objective_s * _PATIENCE_SHARE - waited_s, 0.0
            )
            call.objective_s = route.objective_s - waited_s
            call.attempt = len(progress.attempts) + 1
            last = await self._attempt(member, call, progress)
            response = final_response(last, route, progress)
            if response is not None:
                return response
            if is_keyed and _is_final_for_key(last, route):
                return self._fail(progress, last, deadline)
            if not await self._may_try_again(
                req, call, last, route, progress, give_up_at
            ):
                return self._fail(progress, last, deadline)

    async def _may_try_again(
        self,
        req: CallerRequest,
        call: Call,
        last: Outcome,
        route: Route,
        progress: Progress,
        give_up_at: float,
    ) -> bool:
        """Return whether there is all that another attempt needs."""
        if last.sent and not self._crashes.may_retry(call):
            return False
        service = call.service
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
        progress: Progress,
        give_up_at: float,
    ) -> Member | None:
        """Return the next member to try, after a wait if needed."""
        max_tries = _MAX_NESTED_TRIES if call.nested else _MAX_TRIES
        while len(progress.attempts) < max_tries:
            if call.key is None:
                member = self._chooser.best(
                    call.service, route, progress.tried, len(call.body)
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
        self, member: Member, call: Call, progress: Progress
    ) -> Outcome:
        began = self._loop.time()
        load_age_s = self._roster.load_age_s(member.name)
        progress.tried.add(member.name)
        # Until the outcome shows otherwise, also if it is cancelled.
        progress.has_token = False
        if member.name == self._roster.own.name:
            outcome = await self._gate.serve(call)
        else:
            outcome = await self._member_calls.call(member, call)
        progress.has_token = not outcome.sent
        if outcome.verdict is not Verdict.NOT_RUN:
            progress.possible_runs += 1
        elif outcome.reason in NO_ROOM_REASONS:
            progress.retry_after_s = min(
                progress.retry_after_s, outcome.retry_after_s
            )
        progress.note_attempt(
            member.name,
            outcome,
            took_s=self._loop.time() - began,
            load_age_s=load_age_s,
        )
        return outcome

    def _refuse_quarantined(
        self, progress: Progress, left_s: float, deadline: float
    ) -> Response:
        outcome = Outcome(
            Verdict.NOT_RUN, reason=Reason.QUARANTINED, retry_after_s=left_s
        )
        progress.note_attempt(self._roster.own.name, outcome)
        return self._fail(progress, outcome, deadline)

    def _fail(
        self, progress: Progress, last: Outcome, deadline: float
    ) -> Response:
        return failure_response(progress, last, deadline - self._loop.time())

    def _may_retry(
        self,
        outcome: Outcome,
        route: Route,
        service: str,
        progress: Progress,
        give_up_at: float,
    ) -> bool:
        if outcome.reason is Reason.QUARANTINED:
            # Another daemon may not know yet that it crashes targets.
            return False
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
        return self._budgets.of(service).spend(
            self._loop.time(), len(self._roster.live())
        )


def _is_final_for_key(outcome: Outcome, route: Route) -> bool:
    """Return whether no other attempt for the key can succeed."""
    # The owner's daemon sends it no non-idempotent request twice.
    is_spent = outcome.sent and not route.idempotent
    return is_spent or outcome.reason in NO_ROOM_REASONS


def _priority(req: CallerRequest, route: Route) -> int:
    """Return the rank of the request's account, else of its route."""
    if req.account is None or req.account.priority is None:
        return route.priority
    return req.account.priority


def deadline_of(req: CallerRequest, route: Route) -> float:
    """Return a request's deadline, on the event loop's clock."""
    wait_s = min(req.wait_s or _DEFAULT_TIMEOUT_S, route.timeout_s)
    return req.arrived_at + wait_s
