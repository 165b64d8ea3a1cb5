"""Concurrent attempts of one request; the first answer is used."""

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
    Runs the attempts of a hedged request concurrently.

    Each attempt has a task of its own.

    :param tasks: task group that the attempts run in.
    """

    __slots__ = ("_changed", "_runners", "_tasks")

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self._runners: list[Runner] = []
        self._changed = anyio.Event()

    def start(self, attempt: AbstractAsyncContextManager[RouteReply]) -> None:
        """Start one more attempt."""
        runner = Runner(attempt, self._on_runner_change)
        self._runners.append(runner)
        self._tasks.start_soon(runner.run)

    async def wait_settled(self, timeout_s: float) -> bool:
        """
        Wait until an attempt is answered or all are refused.

        :return: false if the timeout expired first.
        """
        with anyio.move_on_after(timeout_s):
            while not self._is_settled():
                await self._changed.wait()
                self._changed = anyio.Event()
        return self._is_settled()

    def result(self) -> RouteReply:
        """
        Return the answer and cancel the other attempts.

        If several attempts were answered, the one started first is
        used.

        :raises Refusal: if no attempt was answered. Attempts that are
            still running count as ones that may have run.
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
        """Tell whether the attempt started first was answered."""
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

    def _on_runner_change(self) -> None:
        self._changed.set()


@asynccontextmanager
async def open_race() -> AsyncIterator[Race]:
    """Open a race that cancels its attempts when it is closed."""
    async with unwrapped_task_group() as tasks:
        yield Race(tasks)
        tasks.cancel_scope.cancel()
