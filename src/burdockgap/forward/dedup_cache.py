"""Deduplication of non-idempotent requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.outcome import Outcome
from burdockgap.verdict import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

_RETENTION_S = 10.0
"""Longer than any caller's deadline, which bounds the time in which a
peer repeats a call."""
_MAX_RUNS = 4096
_MIN_KEPT_S = 1.0
"""Within it, a peer that lost its connection asks for the outcome: a
silent connection is noticed after 0.9 s."""


class DedupCache:
    """
    Runs each non-idempotent request once and remembers its outcome.

    A peer that repeats a call after its connection was lost gets the
    outcome of the first run. An attempt that a peer has settled without
    a run is never run, however often and late its call arrives.
    """

    __slots__ = ("_ended_at", "_loop", "_runs", "_settled")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._runs: dict[str, tuple[float, asyncio.Task[Outcome]]] = {}
        self._ended_at: dict[str, float] = {}
        self._settled: dict[tuple[str, int], float] = {}

    def run(
        self,
        request_id: str,
        start: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> asyncio.Task[Outcome]:
        """Return the task that runs a request, started if new."""
        self._evict_expired()
        entry = self._runs.get(request_id)
        # A task that was cancelled before its start has sent nothing.
        if entry is not None and not entry[1].cancelled():
            return entry[1]
        task = self._loop.create_task(_outcome(start))
        self._runs[request_id] = (self._loop.time() + _RETENTION_S, task)
        task.add_done_callback(lambda _: self._note_end(request_id))
        return task

    def free_responses(self, missing_bytes: int) -> None:
        """
        Drop the oldest responses, which were returned a while ago.

        Their outcomes still say that the requests ran.

        :param missing_bytes: size of the bodies to drop.
        """
        latest = self._loop.time() - _MIN_KEPT_S
        for request_id, ended_at in list(self._ended_at.items()):
            if ended_at > latest or missing_bytes <= 0:
                return
            del self._ended_at[request_id]
            _, task = self._runs[request_id]
            if task.cancelled() or task.exception() is not None:
                continue
            outcome = task.result()
            if outcome.response is not None:
                missing_bytes -= len(outcome.response.body)
                outcome.response = None

    def _note_end(self, request_id: str) -> None:
        if request_id in self._runs:
            self._ended_at[request_id] = self._loop.time()

    def find(self, request_id: str) -> asyncio.Task[Outcome] | None:
        """Return the task that runs or ran a request, if any."""
        entry = self._runs.get(request_id)
        return entry[1] if entry else None

    def forget(self, request_id: str) -> None:
        """Remove a request that is known not to have run."""
        self._runs.pop(request_id, None)
        self._ended_at.pop(request_id, None)

    def settle(self, request_id: str, attempt: int) -> None:
        """Never start an attempt that has not arrived yet."""
        self._evict_expired()
        self._settled[request_id, attempt] = self._loop.time() + _RETENTION_S

    def is_settled(self, request_id: str, attempt: int) -> bool:
        """Return whether an attempt must not be started."""
        return (request_id, attempt) in self._settled

    def _evict_expired(self) -> None:
        now = self._loop.time()
        for key, expires_at in list(self._settled.items()):
            if expires_at > now:
                break
            del self._settled[key]
        for request_id, (expires_at, task) in list(self._runs.items()):
            if expires_at > now and len(self._runs) <= _MAX_RUNS:
                return
            if not task.done():
                return
            self.forget(request_id)


async def _outcome(
    start: Callable[[], Coroutine[Any, Any, Outcome]],
) -> Outcome:
    """
    Return the outcome of a run, also if it is cancelled.

    Whoever else waits for it would be cancelled as well.
    """
    try:
        return await start()
    except asyncio.CancelledError:
        return Outcome(
            Verdict.MAY_HAVE_RUN, reason=Reason.CONNECTION_LOST, sent=True
        )
