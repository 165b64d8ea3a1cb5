"""
Running and waiting requests of a server with a number of slots.

Addresses clumped arrivals, lasting overload and the few requests that
take several times as long as the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.scheduling.refusal_share import RefusalShare
from burdockgap.scheduling.wait_queue import WaitQueue

if TYPE_CHECKING:
    from burdockgap.scheduling.queued_call import QueuedCall

_SLOW_FACTOR = 2.0
"""A request that has run for this multiple of the mean is one of the
few that take several times as long: its slot is not expected to become
free."""
_MARGIN_SHARE = 0.8
"""Margin of a new request's start before its latest start, as a share
of its longest wait, if all new requests were refused. A margin that is
the same for all would keep out those with short objectives first."""


class SlotQueue:
    """
    Decides which requests start, wait or are refused.

    :param size: requests that run at once.
    :param max_calls: hard bound of the requests that wait; the default
        of :class:`WaitQueue` if omitted.
    """

    __slots__ = ("_refusals", "_started", "queue", "size")

    def __init__(self, size: int, max_calls: int | None = None) -> None:
        self.size = size
        self.queue = WaitQueue() if max_calls is None else WaitQueue(max_calls)
        self._started: list[float] = []
        self._refusals = RefusalShare()

    @property
    def in_flight(self) -> int:
        """Requests that run."""
        return len(self._started)

    @property
    def has_room(self) -> bool:
        """Whether a slot is free."""
        return len(self._started) < self.size

    def start(self, now: float) -> None:
        """Note that a request starts."""
        self._started.append(now)

    def end(self, started_at: float | None = None) -> None:
        """
        Note that a request has ended.

        :param started_at: when it started; ``None`` for the one that
            started first.
        """
        if started_at is None:
            started_at = self._started[0]
        self._started.remove(started_at)

    def note_arrival(self, *, refused: bool, mean_s: float) -> None:
        """
        Count a new request, one that no running request has made.

        :param refused: whether there was no room for it.
        :param mean_s: mean service time at the server, in seconds.
        """
        self._refusals.note(refused=refused, mean_s=mean_s, slots=self.size)

    def offer(
        self, call: QueuedCall, now: float, mean_s: float, *, nested: bool
    ) -> list[QueuedCall]:
        """
        Queue a request.

        :param mean_s: mean service time at the server, in seconds.
        :param nested: whether a running request has made it.
        :return: the requests that are refused now.
        """
        slow = 0
        if mean_s > 0:
            slow = sum(
                now - since > _SLOW_FACTOR * mean_s for since in self._started
            )
            slow = max(min(slow, self.size - 1), 0)
        margin_s = 0.0 if nested else self._margin_s(call.latest_start - now)
        self.queue.running_s = mean_s
        refused = self.queue.offer(
            call, now, self.in_flight - slow, self.size - slow, margin_s
        )
        if not nested:
            self.note_arrival(refused=call in refused, mean_s=mean_s)
        return refused

    def room_in_s(self, call: QueuedCall, now: float, mean_s: float) -> float:
        """
        Return after how many seconds a refused request would be queued.

        :param mean_s: mean service time at the server, in seconds.
        """
        start = self.queue.predicted_start(
            call, now, self.in_flight, self.size
        )
        window_s = call.latest_start - call.offered_at
        excess_s = start - now + self._margin_s(window_s) - window_s
        # One more request has to end, as its place is not free now.
        return max(excess_s, 0.0) + mean_s / max(self.size, 1)

    def _margin_s(self, window_s: float) -> float:
        return _MARGIN_SHARE * self._refusals.value * max(window_s, 0.0)
