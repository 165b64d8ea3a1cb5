"""The limit on work in flight and the queue in front of it."""

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
    Slots that are given out in the order of arrival.

    ``least_service_s`` is the shortest time in which an answer can be
    expected; work that cannot meet its deadline gets no slot.
    ``service_s`` is the usual time; work that would wait too long for
    its slot at that pace is refused at once instead of after the wait.

    :param clock: the time source of deadlines.
    :param limit: most slots in use.
    :param queue_length: most requests that wait for a slot.
    """

    __slots__ = (
        "_clock",
        "_idle",
        "_limit",
        "_waiters",
        "in_flight",
        "least_service_s",
        "queue_length",
        "service_s",
    )

    def __init__(self, *, clock: Clock, limit: int, queue_length: int) -> None:
        self._clock = clock
        self._idle = anyio.Event()
        self._limit = limit
        self._waiters: deque[Waiter] = deque()
        self.in_flight = 0
        self.least_service_s = 0.0
        self.service_s = 0.0
        self.queue_length = queue_length

    @property
    def limit(self) -> int:
        """Most slots in use."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    def set_limit(self, limit: int) -> None:
        """
        Change the limit.

        Slots in use beyond a lower limit are not taken back.
        """
        self._limit = limit
        self._give_slots()

    async def acquire(self, *, deadline: float, wait_s: float) -> None:
        """
        Take a slot, which the caller must release.

        :param deadline: clock time at which the caller gives up.
        :param wait_s: longest wait for the slot.
        :raises Refusal: with ``not-run``.
        """
        if self._is_late(deadline):
            raise _late()
        if not self._waiters and self.in_flight < self._limit:
            self.in_flight += 1
            return
        if len(self._waiters) >= self.queue_length:
            raise _queue_full()
        self._check_wait(deadline, wait_s)
        await self._wait(deadline, wait_s)

    def release(self) -> None:
        """Give a slot back."""
        self.in_flight -= 1
        self._give_slots()
        if self.in_flight == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no slot is in use; then nobody waits for one."""
        while self.in_flight:
            if self._idle.is_set():
                self._idle = anyio.Event()
            await self._idle.wait()

    def refuse_waiting(self, reason: Reason, detail: str) -> None:
        """Send all waiters away as not run."""
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
            raise _late() if remaining_s <= wait_s else _waited(wait_s)

    def _check_wait(self, deadline: float, wait_s: float) -> None:
        turns = (len(self._waiters) + 1) / self._limit
        remaining_s = deadline - self._clock.now() - self.least_service_s
        if turns * self.service_s > min(wait_s, remaining_s):
            raise _queue_full()

    def _withdraw(self, waiter: Waiter) -> None:
        if waiter.granted:
            self.release()
        elif waiter.refusal is None:
            self._waiters.remove(waiter)

    def _give_slots(self) -> None:
        while self._waiters and self.in_flight < self._limit:
            waiter = self._waiters.popleft()
            if self._is_late(waiter.deadline):
                waiter.refuse(_late())
                continue
            self.in_flight += 1
            waiter.grant()

    def _is_late(self, deadline: float) -> bool:
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            return True
        # An idle target gets the work, or the estimate never falls.
        return self.in_flight > 0 and remaining_s < self.least_service_s


def _late() -> Refusal:
    detail = "The deadline cannot be met; allow more time."
    return Refusal(Verdict.NOT_RUN, Reason.DEADLINE, detail)


def _queue_full() -> Refusal:
    detail = "The target's queue is full; retry later or elsewhere."
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, detail)


def _waited(wait_s: float) -> Refusal:
    detail = f"No slot came free within {wait_s} s; retry later."
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_TIMEOUT, detail)
