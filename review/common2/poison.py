"""A request that crashes each server that begins to run it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from review.common2.app_server import AppServer, success

if TYPE_CHECKING:
    from review.common2.record import Record
    from review.common2.web import Message, Reply

PATH = "/stock/depot-17"
MAX_RETRIES = 3
_STABILITY_WINDOW_S = 3.0
_THIRD = 3
_DOWN_S = 3.0
"""The pages: the server is back after some seconds."""
_USUAL_S = 0.02


class Poison:
    """
    What servers do with the request, and the count of its runs.

    :param record: records events.
    :param trouble: whether the request crashes its servers.
    :param work_s: how long other requests take, in seconds.
    :ivar crashes: when servers crashed.
    :ivar late_retries: runs that the rule counts: those sent later
        than the stability window after the third crash.
    :ivar lost: ordinary requests that were running at a crash.
    """

    def __init__(
        self, record: Record, *, trouble: bool, work_s: float
    ) -> None:
        self._record = record
        self._trouble = trouble
        self._work_s = work_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._sent_at: dict[str, float] = {}
        self._calm_since: dict[str, float] = {}
        self.crashes: list[float] = []
        self.late_retries = 0
        self.lost = 0

    def note_sent(self, attempt: str) -> None:
        """Note that a client sends the request now."""
        self._sent_at[attempt] = self._record.now

    def note_start(self, machine: str) -> None:
        """Note that a machine's process was started again."""
        self._calm_since[machine] = self._record.now

    async def work(self, server: AppServer, req: Message) -> Reply | None:
        """Run a request."""
        attempt = req.headers["attempt-id"]
        if req.target != PATH:
            await asyncio.sleep(self._work_s)
            if not server.is_up:
                self.lost += 1
                return None
            return success(attempt.encode())
        self._count(server, attempt)
        if not self._trouble:
            await asyncio.sleep(_USUAL_S)
            return success(attempt.encode())
        self.crashes.append(self._record.now)
        server.end("poisoned request")
        task = asyncio.create_task(self._start_again(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return None

    def _count(self, server: AppServer, attempt: str) -> None:
        if len(self.crashes) < _THIRD:
            return
        # The client's sending, which is before that of any machine.
        sent_at = self._sent_at[attempt]
        calm_since = self._calm_since.get(server.name, 0.0)
        is_late = sent_at > self.crashes[_THIRD - 1] + _STABILITY_WINDOW_S
        is_in_touch = sent_at > calm_since + _STABILITY_WINDOW_S
        if is_late and is_in_touch:
            self.late_retries += 1
            self._record.write("late-retry", attempt=attempt)

    async def _start_again(self, server: AppServer) -> None:
        await asyncio.sleep(_DOWN_S)
        await server.start()

    def close(self) -> None:
        """Start no server again; record the counts."""
        for task in self._tasks:
            task.cancel()
        self._record.write(
            "result",
            crashes=len(self.crashes),
            late_retries=self.late_retries,
            lost=self.lost,
        )
