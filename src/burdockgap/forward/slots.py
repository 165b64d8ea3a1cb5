"""The concurrency limit of a target and the queue in front of it."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from burdockgap.forward.no_room import NoRoom
from burdockgap.forward.rate_limit import RateLimit
from burdockgap.scheduling.queued_call import QueuedCall
from burdockgap.scheduling.slot_queue import SlotQueue
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable


class Slots:
    """
    Admits as many requests as a target has slots; others may queue.

    :param size: requests admitted at once.
    :param queue_size: hard bound of the requests that may wait.
    :param limit: bounds the rate of admissions; no limit by default.
    :param mean_s: returns the mean service time of the running
        requests, in seconds.
    :param on_wait: counts the predicted and the actual wait of a
        request that was admitted from the queue, in seconds.
    """

    __slots__ = (
        "_counter",
        "_futures",
        "_limit",
        "_limit_timer",
        "_loop",
        "_mean_s",
        "_on_wait",
        "_queue",
        "_slots",
    )

    def __init__(
        self,
        *,
        size: int,
        queue_size: int | None = None,
        limit: RateLimit | None = None,
        mean_s: Callable[[], float] = lambda: 0.0,
        on_wait: Callable[[float, float], None] = lambda *_: None,
    ) -> None:
        self._on_wait = on_wait
        self._loop = asyncio.get_running_loop()
        self._limit = limit or RateLimit()
        self._limit_timer: asyncio.TimerHandle | None = None
        self._slots = SlotQueue(size, queue_size)
        self._queue = self._slots.queue
        self._futures: dict[QueuedCall, asyncio.Future[float]] = {}
        self._counter = itertools.count()
        self._mean_s = mean_s

    @property
    def size(self) -> int:
        """Requests admitted at once."""
        return self._slots.size

    @property
    def in_flight(self) -> int:
        """Requests admitted now."""
        return self._slots.in_flight

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    async def acquire(
        self,
        *,
        priority: int,
        wait_s: float,
        nested: bool = False,
        in_time: bool = True,
        service_s: float = 0.0,
    ) -> float:
        """
        Acquire a slot, at once or after a wait in the queue.

        A request that is predicted to start too late, or that the rate
        would not admit within its wait, is refused at once. So are
        those of lower rank that it delays beyond their waits.

        :param priority: rank; 0 is the most urgent.
        :param wait_s: longest wait, in seconds.
        :param nested: whether a running request has made it; it goes
            before all that is not.
        :param in_time: whether it can meet its latency objective; it
            goes before those of its priority that cannot.
        :param service_s: expected service time, in seconds.
        :return: when the slot was acquired, for ``release``.
        :raises Refusal: with ``not-run``, if the wait takes too long
            or the request is removed from the queue.
        """
        now = self._loop.time()
        if self._slots.has_room and not self._queue and self._limit.take(now):
            if not nested:
                self._slots.note_arrival(refused=False, mean_s=self._mean_s())
            self._slots.start(now)
            return now
        precedence = (not nested, priority, not in_time)
        rank = (precedence, now + wait_s, next(self._counter))
        ahead = self._queue.ahead_of(rank)
        if self._limit.wait_s(now, ahead) > max(wait_s, 0.0):
            raise Refusal(Verdict.NOT_RUN, Reason.RATE_LIMITED)
        call = QueuedCall(rank, now + wait_s, service_s)
        fut = self._enqueue(call, now, nested=nested)
        timer = self._loop.call_at(call.latest_start, self._time_out, call)
        self._admit()
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(fut.result())
            raise
        finally:
            timer.cancel()
            self._queue.remove(call)
            self._futures.pop(call, None)

    def release(self, acquired_at: float | None = None) -> None:
        """
        Release a slot and admit a queued request.

        :param acquired_at: when it was acquired; ``None`` for the one
            that was acquired first.
        """
        self._slots.end(acquired_at)
        self._admit()

    def resize(self, size: int) -> None:
        """Change the number of slots and admit queued requests."""
        self._slots.size = size
        self._admit()

    def refuse_waiting(self, reason: Reason) -> None:
        """Refuse all queued requests."""
        for call in self._queue.clear():
            self._refuse(call, Refusal(Verdict.NOT_RUN, reason))

    def _enqueue(
        self, call: QueuedCall, now: float, *, nested: bool
    ) -> asyncio.Future[float]:
        fut = self._futures[call] = self._loop.create_future()
        refused = self._slots.offer(call, now, self._mean_s(), nested=nested)
        for item in refused:
            is_late = item is call and len(self._queue) < self._queue.max_calls
            self._refuse_for_room(
                item, Reason.QUEUE_TIMEOUT if is_late else Reason.QUEUE_FULL
            )
        return fut

    def _admit(self) -> None:
        while self._queue and self._slots.has_room:
            now = self._loop.time()
            limit_s = self._limit.wait_s(now)
            if limit_s > 0:
                self._admit_in(limit_s)
                return
            call = self._queue.pop(now)
            if call is None:
                return
            # A call that was cancelled is removed in a later turn; one
            # whose latest start has passed is refused by its timer.
            fut = self._futures.get(call)
            if fut is None or fut.done():
                continue
            self._on_wait(
                call.predicted_start - call.offered_at, now - call.offered_at
            )
            self._limit.take(now)
            self._slots.start(now)
            fut.set_result(now)

    def _admit_in(self, seconds: float) -> None:
        if self._limit_timer is not None:
            self._limit_timer.cancel()
        self._limit_timer = self._loop.call_later(seconds, self._admit)

    def _time_out(self, call: QueuedCall) -> None:
        self._queue.remove(call)
        self._refuse_for_room(call, Reason.QUEUE_TIMEOUT)

    def _refuse_for_room(self, call: QueuedCall, reason: Reason) -> None:
        room_in_s = self._slots.room_in_s(
            call, self._loop.time(), self._mean_s()
        )
        self._refuse(call, NoRoom(reason, room_in_s))

    def _refuse(self, call: QueuedCall, exc: Refusal) -> None:
        fut = self._futures.pop(call, None)
        if fut is not None and not fut.done():
            fut.set_exception(exc)
