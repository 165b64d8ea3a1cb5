"""The concurrency limit of a target and the queue in front of it."""

from __future__ import annotations

import asyncio
import bisect
import itertools

from burdockgap.verdict import Reason, Refusal, Verdict


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

    :ivar size: requests admitted at once.
    :ivar queue_size: requests that may wait.
    :ivar in_flight: requests admitted now.
    """

    __slots__ = (
        "_counter",
        "_loop",
        "_queue",
        "in_flight",
        "queue_size",
        "size",
    )

    def __init__(self, *, size: int, queue_size: int) -> None:
        self._loop = asyncio.get_running_loop()
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
        refused.

        :param priority: rank; 0 is the most urgent.
        :param wait_s: longest wait, in seconds.
        :raises Refusal: with ``not-run``, if the wait takes too long
            or the request is removed from the queue.
        """
        if self.in_flight < self.size and not self._queue:
            self.in_flight += 1
            return
        waiter = self._enqueue(priority)
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
            waiter = self._queue.pop(0)
            if not waiter.fut.done():
                self.in_flight += 1
                waiter.fut.set_result(None)


def _refuse(fut: asyncio.Future[None], reason: Reason) -> None:
    if not fut.done():
        detail = "The target has no room for the request; retry later."
        fut.set_exception(Refusal(Verdict.NOT_RUN, reason, detail))
