"""Routing of requests, with retries and hedges."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.router.attempt_history import AttemptHistory
from burdockgap.router.candidates import keyed_candidates
from burdockgap.router.race import Race, open_race
from burdockgap.router.rendezvous import rendezvous_server
from burdockgap.router.retry_budget import RetryBudget
from burdockgap.router.server_list import ServerList
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from burdockgap.clock import Clock
    from burdockgap.fold.folds import Folds
    from burdockgap.metrics import Metrics
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.chooser import Chooser
    from burdockgap.router.dispatcher import Dispatcher
    from burdockgap.router.route_reply import RouteReply
    from burdockgap.router.route_request import RouteRequest
    from burdockgap.router.server_table import ServerTable

_BACKOFF_MIN_S = 0.01
_BACKOFF_DOUBLINGS_MAX = 3

_NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.DUPLICATE,
        Reason.MISSING_KEY,
        Reason.QUARANTINED,
        Reason.UNKNOWN_SERVICE,
    }
)
"""Reasons for which every other attempt would be refused too."""

_OVERLOAD_REASONS = frozenset(
    {
        Reason.DEADLINE,
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.TARGET_SHED,
    }
)
"""Reasons of not-run attempts whose retry uses the budget."""


class Router:
    """
    Selects a server for each attempt and decides on retries.

    An attempt that has certainly not run may be retried, whether or not
    the request is idempotent. An attempt that may have run is retried
    only if the request is idempotent, within the attempts and the retry
    budget of the profile.

    :param folds: the known assignment and configuration.
    :param dispatcher: sends one attempt.
    :param table: statistics of the servers.
    :param chooser: chooses a server for unkeyed requests.
    :param clock: source of elapsed time.
    :param metrics: counters.
    """

    __slots__ = (
        "_retry_budgets",
        "_chooser",
        "_clock",
        "_dispatcher",
        "_folds",
        "_hedge_budgets",
        "_metrics",
        "_servers",
        "_table",
    )

    def __init__(
        self,
        *,
        folds: Folds,
        dispatcher: Dispatcher,
        table: ServerTable,
        chooser: Chooser,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._folds = folds
        self._dispatcher = dispatcher
        self._table = table
        self._chooser = chooser
        self._clock = clock
        self._metrics = metrics
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._hedge_budgets: dict[str, RetryBudget] = {}
        self._servers = ServerList(folds)

    @asynccontextmanager
    async def route(self, req: RouteRequest) -> AsyncIterator[RouteReply]:
        """
        Route a request; keep the context open while reading the reply.

        :raises Refusal: if no attempt was answered.
        """
        async with AsyncExitStack() as stack:
            yield await self._route_with_retries(stack, req)

    async def _route_with_retries(
        self, stack: AsyncExitStack, req: RouteRequest
    ) -> RouteReply:
        self._retry_budget(req).earn(req.profile.retry_budget)
        history = AttemptHistory()
        while True:
            try:
                return await self._attempt(stack, req, history)
            except Refusal as refusal:
                self._metrics.attempts.labels(
                    refusal.verdict.value, refusal.reason.value
                ).inc()
                history.record_refusal(refusal)
                self._check_retry_allowed(req, history, refusal)
            self._metrics.retries.inc()
            await anyio.sleep(self._backoff_s(req, history))

    async def _attempt(
        self,
        stack: AsyncExitStack,
        req: RouteRequest,
        history: AttemptHistory,
    ) -> RouteReply:
        if self._may_hedge(req):
            race = await stack.enter_async_context(open_race())
            reply = await self._send_hedged(race, req, history)
        else:
            reply = await stack.enter_async_context(self._send(req, history))
        self._metrics.attempts.labels(Verdict.RAN.value, "").inc()
        return reply

    def _may_hedge(self, req: RouteRequest) -> bool:
        return (
            req.idempotent
            and req.key_hash is None
            and req.profile.hedge_after_ms > 0
            and req.body.whole
            and req.body.replayable
        )

    async def _send_hedged(
        self, race: Race, req: RouteRequest, history: AttemptHistory
    ) -> RouteReply:
        """Send a second attempt if the first one is slow."""
        budget = self._hedge_budget(req)
        budget.earn(req.profile.hedge_budget)
        race.start(self._send(req, history))
        if await race.wait_settled(req.profile.hedge_after_ms / 1000):
            return race.result()
        if self._has_hedge_server(req) and budget.spend():
            self._metrics.hedges.inc()
            history.record_hedge()
            race.start(self._send(req, history))
        await race.wait_settled(req.deadline - self._clock.now())
        reply = race.result()
        if not race.is_won_by_first:
            self._metrics.hedges_won.inc()
        return reply

    def _has_hedge_server(self, req: RouteRequest) -> bool:
        """Tell whether there is a second server to hedge to."""
        return len(self._servers.of(req.service)) > 1

    def _send(
        self, req: RouteRequest, history: AttemptHistory
    ) -> AbstractAsyncContextManager[RouteReply]:
        entry = self._choose(req, history)
        history.record_start(entry)
        return self._dispatcher.send(
            entry,
            req,
            self._table.stats(entry),
            self._attempt_deadline(req, history),
        )

    def _choose(
        self, req: RouteRequest, history: AttemptHistory
    ) -> SessionEntry:
        control = self._folds.control
        if req.key_hash is not None:
            owners = keyed_candidates(control, req.service, req.key_hash)
            if owners:
                return self._choose_owner(owners, history)
            raise Refusal(
                Verdict.NOT_RUN, Reason.NO_OWNER, "no server owns the key yet"
            )
        servers = self._servers.of(req.service)
        if not servers:
            raise Refusal(
                Verdict.NOT_RUN, Reason.NO_OWNER, "no server is in service"
            )
        untried = history.untried(servers)
        if _uses_rendezvous(req):
            return rendezvous_server(untried, req.request_id)
        return self._chooser.choose(untried, spill_load=req.profile.spill_load)

    def _choose_owner(
        self, owners: list[SessionEntry], history: AttemptHistory
    ) -> SessionEntry:
        """
        Choose the owner or a fallback for an attempt.

        A server that this request could not connect to is left out as
        long as no other request reaches it, even if a refusal names it
        as the owner: until a successor has the proof that the owner has
        stopped, it names the old one, and each connection that is
        attempted there takes much of the time until the deadline.
        """
        hopeful = [
            entry
            for entry in owners
            if not history.was_unreachable(entry)
            or not self._table.recently_unreachable(entry)
        ]
        return history.choose_owner(
            self._table.reachable_first(hopeful or owners)
        )

    def _attempt_deadline(
        self, req: RouteRequest, history: AttemptHistory
    ) -> float:
        attempts_left = req.profile.attempts - history.count + 1
        if not req.idempotent or attempts_left <= 1:
            return req.deadline
        now = self._clock.now()
        return now + (req.deadline - now) / attempts_left

    def _check_retry_allowed(
        self, req: RouteRequest, history: AttemptHistory, refusal: Refusal
    ) -> None:
        """Raise the refusal unless another attempt is allowed."""
        past_deadline = (
            self._clock.now() + self._backoff_s(req, history) >= req.deadline
        )
        if past_deadline or not req.body.replayable:
            raise history.overall_refusal(refusal)
        if refusal.verdict is Verdict.NOT_RUN:
            if refusal.reason in _NON_RETRYABLE_REASONS:
                raise history.overall_refusal(refusal)
            if refusal.reason in _OVERLOAD_REASONS:
                if _uses_rendezvous(req):
                    # If another server ran the request, a resend could
                    # reach the first server again and run twice.
                    raise history.overall_refusal(refusal)
                self._spend_retry(req, history, refusal)
            return
        if not req.idempotent:
            raise history.overall_refusal(refusal)
        self._spend_retry(req, history, refusal)

    def _spend_retry(
        self, req: RouteRequest, history: AttemptHistory, refusal: Refusal
    ) -> None:
        if history.count >= req.profile.attempts:
            raise history.overall_refusal(refusal)
        if not self._retry_budget(req).spend():
            raise history.overall_refusal(refusal)

    def _backoff_s(self, req: RouteRequest, history: AttemptHistory) -> float:
        if history.count <= 1 and req.key_hash is None:
            return 0.0
        backoff_s: float = _BACKOFF_MIN_S * 2 ** min(
            history.count - 1, _BACKOFF_DOUBLINGS_MAX
        )
        return backoff_s

    def _hedge_budget(self, req: RouteRequest) -> RetryBudget:
        return self._hedge_budgets.setdefault(req.service, RetryBudget())

    def _retry_budget(self, req: RouteRequest) -> RetryBudget:
        return self._retry_budgets.setdefault(req.service, RetryBudget())


def _uses_rendezvous(req: RouteRequest) -> bool:
    """Tell whether all sends of a request must reach one gate."""
    return req.key_hash is None and req.resendable and not req.idempotent
