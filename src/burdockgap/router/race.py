"""Attempts that run at the same time; the first answer wins."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.router.runner import Runner
from burdockgap.tasks.background import unwrapped_task_group
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from anyio.abc import TaskGroup

    from burdockgap.router.route_reply import RouteReply


class Race:
    """
    Runs each attempt in a task of its own.

    :param tasks: where the tasks run.
    """

    __slots__ = ("_changed", "_runners", "_tasks")

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self._runners: list[Runner] = []
        self._changed = anyio.Event()

    def start(self, attempt: AbstractAsyncContextManager[RouteReply]) -> None:
        """Start one more attempt."""
        runner = Runner(attempt, self._changed_by_runner)
        self._runners.append(runner)
        self._tasks.start_soon(runner.run)

    async def settled(self, timeout_s: float) -> bool:
        """Wait until an attempt answers or all are refused."""
        with anyio.move_on_after(timeout_s):
            while not self._is_settled():
                await self._changed.wait()
                self._changed = anyio.Event()
        return self._is_settled()

    def result(self) -> RouteReply:
        """
        Return the first answer and cancel the other attempts.

        Call it only when settled.

        :raises Refusal: if all attempts were refused.
        """
        winner = next(
            (runner for runner in self._runners if runner.reply), None
        )
        for runner in self._runners:
            if runner is not winner:
                runner.scope.cancel()
        if winner is None or winner.reply is None:
            raise self._worst_refusal()
        return winner.reply

    @property
    def is_won_by_first(self) -> bool:
        """Tell whether the attempt started first has answered."""
        return self._runners[0].reply is not None

    def _is_settled(self) -> bool:
        answered = any(runner.reply for runner in self._runners)
        return answered or all(runner.refusal for runner in self._runners)

    def _worst_refusal(self) -> Refusal:
        unanswered = Refusal(
            Verdict.MAY_HAVE_RUN, Reason.DEADLINE, "no attempt was answered"
        )
        refusals = [runner.refusal or unanswered for runner in self._runners]
        for refusal in refusals:
            if refusal.verdict is not Verdict.NOT_RUN:
                return refusal
        return refusals[-1]

    def _changed_by_runner(self) -> None:
        self._changed.set()


@asynccontextmanager
async def open_race() -> AsyncIterator[Race]:
    """Own a race; attempts that still run at its end are cancelled."""
    async with unwrapped_task_group() as tasks:
        yield Race(tasks)
        tasks.cancel_scope.cancel()
