"""The queue in front of a target, and its refusals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.no_room import NoRoom
from burdockgap.forward.outcome import Outcome
from burdockgap.forward.quarantined import Quarantined
from burdockgap.forward.slots import Slots
from burdockgap.scheduling.return_times import ReturnTimes
from burdockgap.scheduling.service_times import ServiceTimes
from burdockgap.scheduling.start_window import (
    latest_return_s,
    longest_wait_s,
)
from burdockgap.verdict import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.call import Call
    from burdockgap.forward.target_state import TargetState

_RETRY_AFTER_S = 0.1
_MIN_SERVICE_S = 0.001
"""Bounds the rate at which refused requests are asked to return."""
_LIMIT_REASONS = frozenset(
    {Reason.RATE_LIMITED, Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT}
)
"""Reasons after which the target's limit determines the time to return,
if it names one."""


class TargetQueue:
    """
    Decides how long calls wait and when refused ones should return.

    :param state: the target's state.
    :param on_wait: counts the predicted and the actual time in the
        queue, in seconds.
    :ivar service_times: service times by route.
    :ivar slots: the target's slots.
    """

    __slots__ = (
        "_loop",
        "_return_times",
        "_state",
        "service_times",
        "slots",
    )

    def __init__(
        self, state: TargetState, on_wait: Callable[[float, float], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state = state
        self._return_times = ReturnTimes()
        self.service_times = ServiceTimes()
        self.slots = Slots(
            size=1,
            limit=state.limit,
            mean_s=lambda: self.service_times.mean_s,
            on_wait=on_wait,
        )

    async def acquire_slot(
        self, call: Call, began: float, deadline: float
    ) -> float:
        """
        Acquire a slot for a call, at once or after a wait.

        :param began: when the call arrived, on the event loop's clock.
        :param deadline: the call's deadline, on the same clock.
        :return: when the slot was acquired, for ``Slots.release``.
        :raises Refusal: with ``not-run``, if the wait takes too long
            or the call is removed from the queue.
        """
        times, now = self.service_times, self._loop.time()
        times.initial_s = self._state.service_s
        mean_s = times.estimate_s(call.route)
        objective_s = call.objective_s - (now - began)
        return await self.slots.acquire(
            priority=call.priority,
            wait_s=longest_wait_s(
                nested=call.nested,
                deadline_s=deadline - now,
                objective_s=objective_s,
                mean_s=mean_s,
                tail_s=times.tail_s(call.route),
            ),
            nested=call.nested,
            in_time=objective_s > mean_s,
            service_s=mean_s,
        )

    def refusal_outcome(self, exc: Refusal, call: Call) -> Outcome:
        """Return the outcome of a call that was refused."""
        retry_after_s = _RETRY_AFTER_S
        if isinstance(exc, Quarantined):
            retry_after_s = exc.left_s
        if isinstance(exc, NoRoom):
            retry_after_s = max(
                retry_after_s, self._return_after_s(exc.room_in_s, call)
            )
        if exc.reason in _LIMIT_REASONS:
            retry_after_s = max(
                retry_after_s,
                self._state.limit.return_after_s(
                    self._loop.time(), self.slots.waiting
                ),
            )
        return Outcome(
            exc.verdict, reason=exc.reason, retry_after_s=retry_after_s
        )

    def _return_after_s(self, room_in_s: float, call: Call) -> float:
        """Return when a request that found no room should return."""
        mean_s = max(self.service_times.mean_s, _MIN_SERVICE_S)
        times = self._return_times
        # A request that several targets refuse returns to one of them,
        # so it takes a place at the first.
        tell = times.book if call.attempt == 1 else times.quote
        return min(
            tell(self._loop.time(), room_in_s, self.slots.size / mean_s),
            latest_return_s(
                objective_s=call.objective_s,
                tail_s=self.service_times.tail_s(call.route),
            ),
        )
