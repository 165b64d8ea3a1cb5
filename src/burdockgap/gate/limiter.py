"""The limit on requests in flight, with a queue in front of it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate.waiter import Waiter
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.clock import Clock


class Limiter:
    """
    Concurrency limiter that grants slots in order of arrival.

    ``min_service_s`` is the shortest time in which a response can be
    expected; a request that cannot meet its deadline gets no slot.
    ``service_s`` is the average time; a request that would wait too
    long for its slot at that rate is refused immediately instead of
    after the wait.

    :param clock: the time source of deadlines.
    :param limit: maximum number of slots in use.
    :param queue_length: maximum number of requests waiting for a slot.
    """

    __slots__ = (
        "_clock",
        "_idle",
        "_limit",
        "_waiters",
        "in_flight",
        "min_service_s",
        "queue_length",
        "service_s",
    )

    def __init__(self, *, clock: Clock, limit: int, queue_length: int) -> None:
        self._clock = clock
        self._idle = anyio.Event()
        self._limit = limit
        self._waiters: deque[Waiter] = deque()
        self.in_flight = 0
        self.min_service_s = 0.0
        self.service_s = 0.0
        self.queue_length = queue_length

    @property
    def limit(self) -> int:
        """Maximum number of slots in use."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    def set_limit(self, limit: int) -> None:
        """
        Change the limit.

        Slots in use above a lowered limit are not revoked.
        """
        self._limit = limit
        self._grant_slots()

    async def acquire(self, *, deadline: float, wait_s: float) -> None:
        """
        Acquire a slot, which the caller must release.

        :param deadline: clock time at which the caller gives up.
        :param wait_s: maximum wait for the slot, in seconds.
        :raises Refusal: with ``not-run``.
        """
        if self._misses_deadline(deadline):
            raise _deadline_refusal()
        if not self._waiters and self.in_flight < self._limit:
            self.in_flight += 1
            return
        if len(self._waiters) >= self.queue_length:
            raise _queue_full_refusal()
        self._check_wait(deadline, wait_s)
        await self._wait(deadline, wait_s)

    def release(self) -> None:
        """Release a slot."""
        self.in_flight -= 1
        self._grant_slots()
        if self.in_flight == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no slot is in use; then no request is queued."""
        while self.in_flight:
            if self._idle.is_set():
                self._idle = anyio.Event()
            await self._idle.wait()

    def refuse_waiting(self, reason: Reason, detail: str) -> None:
        """Refuse all queued requests with ``not-run``."""
        while self._waiters:
            refusal = Refusal(Verdict.NOT_RUN, reason, detail)
            self._waiters.popleft().refuse(refusal)

    async def _wait(self, deadline: float, wait_s: float) -> None:
        waiter = Waiter(deadline)
        self._waiters.append(waiter)
        remaining_s = deadline - self._clock.now()
        try:
            with anyio.move_on_after(min(wait_s, remaining_s)):
                await waiter.decided.wait()
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if not waiter.granted:
            self._waiters.remove(waiter)
            raise (
                _deadline_refusal()
                if remaining_s <= wait_s
                else _queue_timeout_refusal(wait_s)
            )

    def _check_wait(self, deadline: float, wait_s: float) -> None:
        rounds = (len(self._waiters) + 1) / self._limit
        remaining_s = deadline - self._clock.now() - self.min_service_s
        if rounds * self.service_s > min(wait_s, remaining_s):
            raise _queue_full_refusal()

    def _withdraw(self, waiter: Waiter) -> None:
        if waiter.granted:
            self.release()
        elif waiter.refusal is None:
            self._waiters.remove(waiter)

    def _grant_slots(self) -> None:
        while self._waiters and self.in_flight < self._limit:
            waiter = self._waiters.popleft()
            if self._misses_deadline(waiter.deadline):
                waiter.refuse(_deadline_refusal())
                continue
            self.in_flight += 1
            waiter.grant()

    def _misses_deadline(self, deadline: float) -> bool:
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            return True
        # An idle target gets the request in any case; otherwise too
        # high an estimate would never be corrected.
        return self.in_flight > 0 and remaining_s < self.min_service_s


def _deadline_refusal() -> Refusal:
    detail = "The deadline cannot be met; allow more time."
    return Refusal(Verdict.NOT_RUN, Reason.DEADLINE, detail)


def _queue_full_refusal() -> Refusal:
    detail = "The target's queue is full; retry later or elsewhere."
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, detail)


def _queue_timeout_refusal(wait_s: float) -> Refusal:
    detail = f"No slot came free within {wait_s} s; retry later."
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT, detail)
