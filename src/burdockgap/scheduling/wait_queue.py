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
    from burdockgap.scheduling.queued_call import QueuedCall, Rank

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
        self,
        call: QueuedCall,
        now: float,
        in_flight: int,
        slots: int,
        margin_s: float = 0.0,
    ) -> list[QueuedCall]:
        """
        Add a request, and remove those that will not start in time.

        A request goes before others of its class whose latest start is
        later, but it is refused if that makes one of them too late:
        those have waited longer. Of a lower class, those are refused.

        :param in_flight: requests that are running.
        :param slots: requests that may run at once.
        :param margin_s: by how much the offered request has to start
            before its latest start.
        :return: the requests that are refused now.
        """
        index = bisect.bisect(self._calls, call.rank, key=_by_rank)
        behind = self._calls[index:]
        free, work_s = self._ahead(in_flight, slots, index)
        call.offered_at = now
        call.predicted_start = self._start(now, free, work_s, slots)
        if call.predicted_start + margin_s > call.latest_start:
            return [call]
        delay_s = call.service_s / max(slots, 1)
        kept, refused = self._calls[:index], []
        for item in (call, *behind):
            start = self._start(now, free, work_s, slots)
            if item is not call and start > item.latest_start:
                is_due_to_call = start - delay_s <= item.latest_start
                if is_due_to_call and item.is_equal_to(call):
                    return [call]
                refused.append(item)
                continue
            kept.append(item)
            work_s += item.service_s * (free <= 0)
            free -= 1
        refused.extend(kept[self.max_calls :])
        self._calls = kept[: self.max_calls]
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

    def ahead_of(self, rank: Rank) -> int:
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
        self, in_flight: int, slots: int, count: int
    ) -> tuple[int, float]:
        """
        Return what is left by the first ``count`` requests.

        :return: the slots that they leave free (below 0 if some of them
            wait) and the work, in seconds, of those that wait.
        """
        calls = self._calls[:count]
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
