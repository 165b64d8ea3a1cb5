"""The concurrency limit of a target and the queue in front of it."""

from __future__ import annotations

import asyncio
import bisect
import itertools

from burdockgap.forward.rate_limit import RateLimit
from burdockgap.verdict import Reason, Refusal, Verdict

_NO_ROOM = "The target has no room for the request; retry later."


class _Waiter:
    """A queued request, ordered by priority and then by age."""

    __slots__ = ("fut", "rank")

    def __init__(
        self, rank: tuple[int, int], fut: asyncio.Future[None]
    ) -> None:
        self.rank = rank
        self.fut = fut

    def __lt__(self, other: _Waiter) -> bool:
        return self.rank < other.rank


class Slots:
    """
    Admits as many requests as a target has slots and queues a few more.

    :param limit: bounds the rate of admissions; no limit by default.
    :ivar size: requests admitted at once.
    :ivar queue_size: requests that may wait.
    :ivar in_flight: requests admitted now.
    """

    __slots__ = (
        "_counter",
        "_limit",
        "_limit_timer",
        "_loop",
        "_queue",
        "in_flight",
        "queue_size",
        "size",
    )

    def __init__(
        self, *, size: int, queue_size: int, limit: RateLimit | None = None
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._limit = limit or RateLimit()
        self._limit_timer: asyncio.TimerHandle | None = None
        self._queue: list[_Waiter] = []
        self._counter = itertools.count()
        self.size = size
        self.queue_size = queue_size
        self.in_flight = 0

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    async def acquire(self, *, priority: int, wait_s: float) -> None:
        """
        Acquire a slot, at once or after a wait in the queue.

        If the queue exceeds its size, its least urgent request is
        refused. A request that the rate would not admit within its
        wait is refused at once.

        :param priority: rank; 0 is the most urgent.
        :param wait_s: longest wait, in seconds.
        :raises Refusal: with ``not-run``, if the wait takes too long
            or the request is removed from the queue.
        """
        now = self._loop.time()
        if (
            self.in_flight < self.size
            and not self._queue
            and self._limit.take(now)
        ):
            self.in_flight += 1
            return
        ahead = sum(waiter.rank[0] <= priority for waiter in self._queue)
        if self._limit.wait_s(now, ahead) > max(wait_s, 0.0):
            raise Refusal(Verdict.NOT_RUN, Reason.RATE_LIMITED, _NO_ROOM)
        waiter = self._enqueue(priority)
        self._admit()
        timer = self._loop.call_later(
            max(wait_s, 0.0), _refuse, waiter.fut, Reason.QUEUE_TIMEOUT
        )
        try:
            await waiter.fut
        except asyncio.CancelledError:
            fut = waiter.fut
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release()
            raise
        finally:
            timer.cancel()
            if waiter in self._queue:
                self._queue.remove(waiter)

    def release(self) -> None:
        """Release a slot and admit a queued request."""
        self.in_flight -= 1
        self._admit()

    def resize(self, size: int) -> None:
        """Change the number of slots and admit queued requests."""
        self.size = size
        self._admit()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all queued requests."""
        for waiter in self._queue:
            _refuse(waiter.fut, reason)

    def _enqueue(self, priority: int) -> _Waiter:
        rank = (priority, next(self._counter))
        waiter = _Waiter(rank, self._loop.create_future())
        bisect.insort(self._queue, waiter)
        if len(self._queue) > self.queue_size:
            last = self._queue.pop()
            _refuse(last.fut, Reason.QUEUE_FULL)
        return waiter

    def _admit(self) -> None:
        while self._queue and self.in_flight < self.size:
            if self._queue[0].fut.done():
                self._queue.pop(0)
                continue
            now = self._loop.time()
            if not self._limit.take(now):
                self._admit_in(self._limit.wait_s(now))
                return
            self.in_flight += 1
            self._queue.pop(0).fut.set_result(None)

    def _admit_in(self, seconds: float) -> None:
        if self._limit_timer is not None:
            self._limit_timer.cancel()
        self._limit_timer = self._loop.call_later(seconds, self._admit)


def _refuse(fut: asyncio.Future[None], reason: Reason) -> None:
    if not fut.done():
        fut.set_exception(Refusal(Verdict.NOT_RUN, reason, _NO_ROOM))
