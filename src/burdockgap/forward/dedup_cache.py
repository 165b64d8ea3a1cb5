"""Deduplication of non-idempotent requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from burdockgap.forward.outcome import Outcome

_RETENTION_S = 10.0
"""Longer than any caller's deadline, which bounds the time in which a
peer repeats a call."""
_MAX_RUNS = 4096


class DedupCache:
    """
    Runs each non-idempotent request once and remembers its outcome.

    A peer that repeats a call after its connection was lost gets the
    outcome of the first run. An attempt that a peer has settled without
    a run is never run, however often and late its call arrives.
    """

    __slots__ = ("_loop", "_runs", "_settled")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._runs: dict[str, tuple[float, asyncio.Task[Outcome]]] = {}
        self._settled: dict[tuple[str, int], float] = {}

    def run(
        self,
        request_id: str,
        start: Callable[[], Coroutine[Any, Any, Outcome]],
    ) -> asyncio.Task[Outcome]:
        """Return the task that runs a request, started if new."""
        self._evict_expired()
        entry = self._runs.get(request_id)
        if entry is not None:
            return entry[1]
        task = self._loop.create_task(start())
        self._runs[request_id] = (self._loop.time() + _RETENTION_S, task)
        return task

    def find(self, request_id: str) -> asyncio.Task[Outcome] | None:
        """Return the task that runs or ran a request, if any."""
        entry = self._runs.get(request_id)
        return entry[1] if entry else None

    def forget(self, request_id: str) -> None:
        """Remove a request that is known not to have run."""
        self._runs.pop(request_id, None)

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
            del self._runs[request_id]
