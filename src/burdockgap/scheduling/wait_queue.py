"""
The queue of requests that wait for a slot of a server.

Addresses arrivals that come in clumps, and overload: requests wait only
where they are predicted to start in time, and the others are told at
once.
"""

from __future__ import annotations

import bisect
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.scheduling.queued_call import QueuedCall

_MAX_CALLS = 256
"""Bounds memory and the time of an arrival's prediction. Servers of
nine slots and 90 ms reach about 30 within their latency objective."""
_by_rank = attrgetter("rank")


class WaitQueue:
    """
    Requests in order of their rank.

    There is no fixed length: a request is admitted if it is predicted
    to start by its latest start.

    :param max_calls: hard bound of the length.
    :ivar running_s: mean service time of the running requests, in
        seconds.
    """

    __slots__ = ("_calls", "max_calls", "running_s")

    def __init__(self, max_calls: int = _MAX_CALLS) -> None:
        self._calls: list[QueuedCall] = []
        self.max_calls = max_calls
        self.running_s = 0.0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._calls)

    def offer(
        self, call: QueuedCall, now: float, in_flight: int, slots: int
    ) -> list[QueuedCall]:
        """
        Add a request, and remove those that will not start in time.

        :param in_flight: requests that are running.
        :param slots: requests that may run at once.
        :return: the requests that are refused now: the offered one, or
            those that it delays beyond their latest start.
        """
        index = bisect.bisect(self._calls, call.rank, key=_by_rank)
        behind = self._calls[index:]
        del self._calls[index:]
        call.offered_at = now
        refused = []
        free, work_s = self._ahead(in_flight, slots)
        for item in (call, *behind):
            start = self._start(now, free, work_s, slots)
            if item is call:
                call.predicted_start = start
            if start > item.latest_start:
                refused.append(item)
                continue
            self._calls.append(item)
            free, work_s = free - 1, work_s + item.service_s * (free <= 0)
        while len(self._calls) > self.max_calls:
            refused.append(self._calls.pop())
        return refused

    def predicted_start(
        self, call: QueuedCall, now: float, in_flight: int, slots: int
    ) -> float:
        """Return when a request that waits, or would, will start."""
        ahead = bisect.bisect_left(self._calls, call.rank, key=_by_rank)
        free, work_s = self._ahead(in_flight, slots, ahead)
        return self._start(now, free, work_s, slots)

    def pop(self, now: float) -> QueuedCall | None:
        """Remove and return the first request that may still start."""
        while self._calls:
            call = self._calls.pop(0)
            if now <= call.latest_start:
                return call
        return None

    def ahead_of(self, rank: tuple[int, ...]) -> int:
        """Return the number of requests that start before a rank."""
        return bisect.bisect_left(self._calls, rank, key=_by_rank)

    def remove(self, call: QueuedCall) -> None:
        """Remove a request, if it is in the queue."""
        if call in self._calls:
            self._calls.remove(call)

    def clear(self) -> list[QueuedCall]:
        """Remove and return all requests."""
        calls, self._calls = self._calls, []
        return calls

    def _ahead(
        self, in_flight: int, slots: int, count: int | None = None
    ) -> tuple[int, float]:
        """
        Return what is left by the first ``count`` requests.

        :return: the slots that they leave free (below 0 if some of them
            wait) and the work, in seconds, of those that wait.
        """
        calls = self._calls if count is None else self._calls[:count]
        free = max(slots - in_flight, 0)
        work_s = sum(call.service_s for call in calls[free:])
        return free - len(calls), work_s

    def _start(
        self, now: float, free: int, work_s: float, slots: int
    ) -> float:
        if free > 0:
            return now
        # The requests that run are at random points of their work, so
        # the first of n ends after 1 / (n + 1) of it on average.
        count = max(slots, 1)
        return now + self.running_s / (count + 1) + work_s / count
