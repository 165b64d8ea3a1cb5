"""A simulated server behind the old and the new queue."""

from __future__ import annotations

import heapq
import itertools
import math
import random

from burdockgap.scheduling.queued_call import QueuedCall
from burdockgap.scheduling.return_times import ReturnTimes
from burdockgap.scheduling.service_times import ServiceTimes
from burdockgap.scheduling.slot_queue import SlotQueue
from burdockgap.scheduling.start_window import (
    latest_return_s,
    longest_wait_s,
)

LONG_SHARE = 0.03
LONG_FACTOR = 7.0


class Site:
    """Figures of one kind of site; times in seconds."""

    def __init__(
        self, slots, work_s, objective_s, timeout_s, *, nested_share=0.0
    ):
        self.slots = slots
        self.work_s = work_s
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.nested_share = nested_share


SITES = {
    "small": Site(3, (0.14, 0.18), (0.69, 1.23), (1.2, 5.0)),
    "nested": Site(
        3, (0.14, 0.18), (0.69, 1.23), (1.2, 5.0), nested_share=0.3
    ),
    "large": Site(9, (0.19, 0.31), (0.911, 2.324), (1.2, 5.0)),
    "earlier-6": Site(6, (0.06, 0.06), (0.2, 0.2), (0.8, 0.8)),
    "earlier-9": Site(9, (0.09, 0.09), (0.3, 0.3), (0.8, 0.8)),
}


class Arrival:
    """One request; ``born_at`` stays the same when it returns."""

    def __init__(self, at, route, site, rng, *, nested):
        self.born_at = self.at = at
        self.nested = nested
        self.returns = 0
        index = int(route[1:]) / 3
        if nested:
            self.route = "nested"
            self.objective_s, self.timeout_s, work_s = 0.229, 0.765, 0.04
        else:
            self.route = route
            self.objective_s = _between(site.objective_s, index)
            self.timeout_s = _between(site.timeout_s, index)
            work_s = _between(site.work_s, index)
        self.priority = 1
        self.service_s = work_s * rng.uniform(0.5, 1.5)
        if rng.random() < LONG_SHARE:
            self.service_s *= LONG_FACTOR


def _between(bounds, share):
    return bounds[0] + (bounds[1] - bounds[0]) * share


def arrivals(site, load, pattern, seconds, seed):
    """Return arrivals at a multiple of the capacity, in order."""
    rng = random.Random(seed)
    mean_s = sum(site.work_s) / 2 * (1 - site.nested_share)
    mean_s += 0.04 * site.nested_share
    mean_s *= 1 + LONG_SHARE * (LONG_FACTOR - 1)
    rate = load * site.slots / mean_s
    found, now = [], 0.0
    while now < seconds:
        size, share = 1, 1.0
        if pattern == "clumped":
            size = rng.choice((1, 1, 2, 4, 7))
            now += rng.expovariate(rate / 3)
        else:
            now += rng.expovariate(rate * 1.8)
            share = (1 + 0.8 * math.sin(2 * math.pi * now / 4)) / 1.8
        if rng.random() > share:
            continue
        for _ in range(size):
            found.append(
                Arrival(
                    now + rng.uniform(0, 0.01) * (size > 1),
                    f"r{rng.randrange(4)}",
                    site,
                    rng,
                    nested=rng.random() < site.nested_share,
                )
            )
    return found


class OldQueue:
    """Half as many places as slots; a wait of half of the objective."""

    def __init__(self, slots):
        self.slots = slots
        self.size = max(round(slots / 2), 1)
        self.in_flight = 0
        self.calls = []
        self._counter = itertools.count()

    def note(self, call, seconds):
        pass

    def offer(self, call, now):
        """Return the started and the refused calls."""
        if self.in_flight < self.slots and not self.calls:
            self.in_flight += 1
            return [call], []
        call.latest_start = now + call.objective_s * 0.5
        call.rank = (call.priority, next(self._counter))
        self.calls.append(call)
        self.calls.sort(key=lambda item: item.rank)
        refused = self.calls[self.size :]
        del self.calls[self.size :]
        return [], refused

    def release(self, _call, _now):
        self.in_flight -= 1
        started = []
        while self.calls and self.in_flight < self.slots:
            self.in_flight += 1
            started.append(self.calls.pop(0))
        return started

    def expire(self, call):
        if call in self.calls:
            self.calls.remove(call)
            return [call]
        return []


class NewQueue:
    """The modules that the daemon uses."""

    def __init__(self, slots):
        self.slots = SlotQueue(slots)
        self.queue = self.slots.queue
        self.times = ServiceTimes()
        self.return_times = ReturnTimes()
        self.calls = {}
        self._counter = itertools.count()

    def note(self, call, seconds):
        self.times.note(call.route, seconds)

    def offer(self, call, now):
        """Return the started and the refused calls."""
        if self.slots.has_room and not self.queue:
            self.slots.start(now)
            if not call.nested:
                self.slots.note_arrival(
                    refused=False, mean_s=self.times.mean_s
                )
            return [call], []
        mean_s = self.times.estimate_s(call.route)
        objective_s = call.at + call.objective_s - now
        wait_s = longest_wait_s(
            nested=call.nested,
            deadline_s=call.at + call.timeout_s - now,
            objective_s=objective_s,
            mean_s=mean_s,
            tail_s=self.times.tail_s(call.route),
        )
        rank = (
            (not call.nested, call.priority, objective_s <= mean_s),
            now + wait_s,
            next(self._counter),
        )
        item = QueuedCall(rank, now + wait_s, mean_s)
        call.latest_start = item.latest_start
        call.item = item
        self.calls[item] = call
        refused = self.slots.offer(
            item, now, self.times.mean_s, nested=call.nested
        )
        return [], [self.calls.pop(item) for item in refused]

    def release(self, call, now):
        self.slots.end(call.started_at)
        started = []
        while self.queue and self.slots.has_room:
            item = self.queue.pop(now)
            if item is None:
                break
            self.slots.start(now)
            started.append(self.calls.pop(item))
        return started

    def return_after_s(self, call, now):
        mean_s = self.times.mean_s
        room_in_s = self.slots.room_in_s(call.item, now, mean_s)
        return self.return_times.book(now, room_in_s, self.slots.size / mean_s)

    def expire(self, call):
        for item, queued in list(self.calls.items()):
            if queued is call:
                self.queue.remove(item)
                del self.calls[item]
                return [call]
        return []


class Result:
    """What became of the requests, as shares of all that arrived."""

    def __init__(self):
        self.total = self.in_time = self.late = self.refused = 0
        self.nested = self.nested_refused = 0
        self.longest_hold_s = 0.0
        self.held_s = 0.0
        self.returned = self.refused_again = 0

    @property
    def worth(self):
        return (self.in_time + 0.25 * self.late) / self.total

    def row(self):
        n = max(self.total, 1)
        return (
            f"in time {self.in_time / n:.3f} late {self.late / n:.3f} "
            f"refused {self.refused / n:.3f} nested refused "
            f"{self.nested_refused / max(self.nested, 1):.3f} "
            f"hold {self.longest_hold_s:.3f} worth {self.worth:.3f} "
            f"again {self.refused_again / max(self.returned, 1):.2f}"
        )


class Simulation:
    """
    Serves arrivals; a refused caller returns once when told.

    :param return_s: returns the time that a refused caller is told,
        given the queue, the call, the time and a random generator.
    """

    def __init__(self, queue, calls, return_s):
        self.queue = queue
        self.return_s = return_s
        self.rng = random.Random(1)
        self.result = Result()
        self.result.total = len(calls)
        self.result.nested = sum(call.nested for call in calls)
        self._counter = itertools.count()
        self._events = []
        for call in calls:
            self._push(call.at, self._arrive, call)

    def run(self):
        while self._events:
            now, _, handle, call = heapq.heappop(self._events)
            handle(call, now)
        return self.result

    def _push(self, at, handle, call):
        heapq.heappush(self._events, (at, next(self._counter), handle, call))

    def _arrive(self, call, now):
        started, refused = self.queue.offer(call, now)
        if call not in started and call not in refused:
            self._push(call.latest_start, self._expire, call)
        for item in refused:
            self._refuse(item, now)
        self._start(started, now)

    def _expire(self, call, now):
        for item in self.queue.expire(call):
            self._refuse(item, now)

    def _start(self, calls, now):
        for call in calls:
            call.started_at = now
            self._push(now + call.service_s, self._end, call)

    def _end(self, call, now):
        self.queue.note(call, call.service_s)
        in_time = now - call.born_at <= call.objective_s
        self.result.in_time += in_time
        self.result.late += not in_time and now <= call.at + call.timeout_s
        self._start(self.queue.release(call, now), now)

    def _refuse(self, call, now):
        result = self.result
        result.longest_hold_s = max(result.longest_hold_s, now - call.at)
        result.held_s += now - call.at
        if call.returns:
            result.refused += 1
            result.refused_again += 1
            result.nested_refused += call.nested
            return
        call.returns = 1
        result.returned += 1
        left_s = call.born_at + call.timeout_s - now
        told_s = self.return_s(self.queue, call, now, self.rng)
        call.at = now + min(told_s, left_s / 3)
        call.timeout_s = call.born_at + call.timeout_s - call.at
        self._push(call.at, self._arrive, call)


def simulate(queue, calls, *, return_s):
    """Return what became of the arrivals."""
    return Simulation(queue, calls, return_s).run()


def told_at_random(_queue, _call, _now, rng):
    """Return the time that everybody was told, whatever the backlog."""
    return rng.uniform(0.1, 0.25)


def told_by_room(queue, call, now, rng):
    """Return the time that the daemon tells."""
    latest_s = latest_return_s(
        objective_s=call.at + call.objective_s - now,
        tail_s=queue.times.tail_s(call.route),
    )
    told_s = min(queue.return_after_s(call, now), latest_s)
    return max(told_s, 0.1) * rng.uniform(1.0, 1.2)
