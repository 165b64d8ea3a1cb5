"""Requests that ran here, so that none runs twice."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from burdockgap.forward.outcome import Outcome

_RETENTION_S = 10.0
"""Above the longest deadline of a caller: a peer asks again within
it."""
_MAX_RUNS = 4096


class DedupCache:
    """
    Runs each non-idempotent request once and remembers its outcome.

    A peer whose connection was lost asks again and gets the outcome of
    the first run.
    """

    __slots__ = ("_loop", "_runs")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._runs: dict[str, tuple[float, asyncio.Task[Outcome]]] = {}

    def run(
        self,
        request_id: str,
        start: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> asyncio.Task[Outcome]:
        """Return the run of a request, started if there is none."""
        self._evict_expired()
        entry = self._runs.get(request_id)
        if entry is not None:
            return entry[1]
        task = self._loop.create_task(start())
        self._runs[request_id] = (self._loop.time() + _RETENTION_S, task)
        return task

    def find(self, request_id: str) -> asyncio.Task[Outcome] | None:
        """Return the run of a request, if there is one."""
        entry = self._runs.get(request_id)
        return entry[1] if entry else None

    def forget(self, request_id: str) -> None:
        """Drop a run that is known not to have reached the target."""
        self._runs.pop(request_id, None)

    def _evict_expired(self) -> None:
        now = self._loop.time()
        for request_id, (until, task) in list(self._runs.items()):
            if until > now and len(self._runs) <= _MAX_RUNS:
                return
            if not task.done():
                return
            del self._runs[request_id]
