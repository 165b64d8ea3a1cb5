"""Routing of a request until there is a verdict."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.router.attempt_history import AttemptHistory
from burdockgap.router.candidates import keyed_candidates
from burdockgap.router.home import home_of
from burdockgap.router.race import Race, open_race
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

_PAUSE_S = 0.01
_DOUBLINGS = 3

_FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.DUPLICATE,
        Reason.MISSING_KEY,
        Reason.QUARANTINED,
        Reason.UNKNOWN_SERVICE,
    }
)
"""Refusals that another attempt would meet again."""

_LOAD_REASONS = frozenset(
    {
        Reason.DEADLINE,
        Reason.QUEUE_FULL,
        Reason.QUEUE_TIMEOUT,
        Reason.TARGET_SHED,
    }
)
"""Refusals after which another attempt costs a retry."""


class Router:
    """
    Finds the target of each request and decides on further attempts.

    Attempts that are proved not to have run may always be repeated. An
    attempt that may have run is repeated only for idempotent requests,
    within the profile's attempts and retry budget.

    :param folds: the known assignment and configuration.
    :param dispatcher: sends one attempt.
    :param table: statistics of the servers.
    :param chooser: chooses a server for unkeyed requests.
    :param clock: source of elapsed time.
    :param metrics: counters.
    """

    __slots__ = (
        "_budgets",
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
        self._budgets: dict[str, RetryBudget] = {}
        self._hedge_budgets: dict[str, RetryBudget] = {}
        self._servers = ServerList(folds)

    @asynccontextmanager
    async def route(self, req: RouteRequest) -> AsyncIterator[RouteReply]:
        """
        Route a request; the context lasts as long as the answer.

        :raises Refusal: if no attempt brought an answer.
        """
        async with AsyncExitStack() as stack:
            yield await self._first_answer(stack, req)

    async def _first_answer(
        self, stack: AsyncExitStack, req: RouteRequest
    ) -> RouteReply:
        self._budget(req).earn(req.profile.retry_budget)
        history = AttemptHistory()
        while True:
            try:
                return await self._attempt(stack, req, history)
            except Refusal as refusal:
                self._metrics.attempts.labels(
                    refusal.verdict.value, refusal.reason.value
                ).inc()
                history.failed(refusal)
                self._check_again(req, history, refusal)
            self._metrics.retries.inc()
            await anyio.sleep(self._pause_s(req, history))

    async def _attempt(
        self,
        stack: AsyncExitStack,
        req: RouteRequest,
        history: AttemptHistory,
    ) -> RouteReply:
        if self._may_hedge(req):
            race = await stack.enter_async_context(open_race())
            reply = await self._hedged(race, req, history)
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

    async def _hedged(
        self, race: Race, req: RouteRequest, history: AttemptHistory
    ) -> RouteReply:
        """Start a second attempt if the first one is slow."""
        budget = self._hedge_budget(req)
        budget.earn(req.profile.hedge_budget)
        race.start(self._send(req, history))
        if await race.settled(req.profile.hedge_after_ms / 1000):
            return race.result()
        if self._has_another(req) and budget.spend():
            self._metrics.hedges.inc()
            history.hedged()
            race.start(self._send(req, history))
        await race.settled(req.deadline - self._clock.now())
        reply = race.result()
        if not race.is_won_by_first:
            self._metrics.hedges_won.inc()
        return reply

    def _has_another(self, req: RouteRequest) -> bool:
        """Tell whether there is a second server for a hedge."""
        return len(self._servers.of(req.service)) > 1

    def _send(
        self, req: RouteRequest, history: AttemptHistory
    ) -> AbstractAsyncContextManager[RouteReply]:
        entry = self._choose(req, history)
        history.started(entry)
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
                return history.prefer(self._table.reachable_first(owners))
            raise Refusal(
                Verdict.NOT_RUN, Reason.NO_OWNER, "no server owns the key yet"
            )
        servers = self._servers.of(req.service)
        if not servers:
            raise Refusal(
                Verdict.NOT_RUN, Reason.NO_OWNER, "no server is in service"
            )
        untried = history.untried(servers)
        if _has_home(req):
            return home_of(untried, req.request_id)
        return self._chooser.choose(untried, spill_load=req.profile.spill_load)

    def _attempt_deadline(
        self, req: RouteRequest, history: AttemptHistory
    ) -> float:
        attempts_left = req.profile.attempts - history.count + 1
        if not req.idempotent or attempts_left <= 1:
            return req.deadline
        now = self._clock.now()
        return now + (req.deadline - now) / attempts_left

    def _check_again(
        self, req: RouteRequest, history: AttemptHistory, refusal: Refusal
    ) -> None:
        """Raise the refusal unless another attempt is allowed."""
        late = self._clock.now() + self._pause_s(req, history) >= req.deadline
        if late or not req.body.replayable:
            raise history.overall(refusal)
        if refusal.verdict is Verdict.NOT_RUN:
            if refusal.reason in _FINAL_REASONS:
                raise history.overall(refusal)
            if refusal.reason in _LOAD_REASONS:
                if _has_home(req):
                    # A resend would find the first server free and run
                    # there what has run elsewhere.
                    raise history.overall(refusal)
                self._spend_retry(req, history, refusal)
            return
        if not req.idempotent:
            raise history.overall(refusal)
        self._spend_retry(req, history, refusal)

    def _spend_retry(
        self, req: RouteRequest, history: AttemptHistory, refusal: Refusal
    ) -> None:
        if history.count >= req.profile.attempts:
            raise history.overall(refusal)
        if not self._budget(req).spend():
            raise history.overall(refusal)

    def _pause_s(self, req: RouteRequest, history: AttemptHistory) -> float:
        if history.count <= 1 and req.key_hash is None:
            return 0.0
        pause_s: float = _PAUSE_S * 2 ** min(history.count - 1, _DOUBLINGS)
        return pause_s

    def _hedge_budget(self, req: RouteRequest) -> RetryBudget:
        return self._hedge_budgets.setdefault(req.service, RetryBudget())

    def _budget(self, req: RouteRequest) -> RetryBudget:
        return self._budgets.setdefault(req.service, RetryBudget())


def _has_home(req: RouteRequest) -> bool:
    """Tell whether all sends of a request must meet the same gate."""
    return req.key_hash is None and req.resendable and not req.idempotent
