"""A server with its gate, in simulated time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockgap.forward.departures import Departures
from burdockgap.forward.load import Load
from burdockgap.forward.target_state import TargetState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
    from burdockgap.scheduling.running_request import RunningRequest
    from tests.scheduling.site import SimulatedClock

    Answer = Callable[[bool], None]

_NOISE_S = 0.4
_NOISE_SHARE = 0.2
_NOISE_FACTOR = 3.0
_TAIL_SHARE = 0.03
_TAIL_FACTOR = 7.0


class _Task:
    """
    A request that the server is running.

    :param left_s: work that is left, at the full rate.
    """

    __slots__ = ("answer", "began", "left_s", "running", "slowness")

    def __init__(
        self,
        left_s: float,
        began: float,
        slowness: float,
        answer: Answer,
        running: RunningRequest | None,
    ) -> None:
        self.left_s = left_s
        self.began = began
        self.slowness = slowness
        self.answer = answer
        self.running = running


class SimulatedServer:
    """
    A server whose slots, queue and speed vary with its load.

    :param clock: the simulated clock.
    :param name: name of the member beside it.
    :param slots: its announced slots.
    :param work_s: lower and upper bound of a request's work.
    :param speed: how fast it works.
    :param contention: how much longer work takes with all slots in use.
    :ivar slots: slots that the gate uses.
    """

    def __init__(
        self,
        clock: SimulatedClock,
        name: str,
        *,
        slots: int,
        work_s: tuple[float, float],
        speed: float,
        contention: float,
        rng: random.Random,
        queue: float = 0.5,
    ) -> None:
        self.clock = clock
        self.name = name
        self.announced_slots = self.slots = slots
        self.work_s = work_s
        self.speed = speed
        self.contention = contention
        self.rng = rng
        self.queue_size = max(round(slots * queue), 1)
        self.in_flight = 0
        self.queue: list[list[Answer]] = []
        self.ran = 0
        self._disturbance = 1.0
        self._tasks: list[_Task] = []
        self._advanced_at = 0.0
        self._last_rate = 1.0
        self._version = 0
        self.limit: ConcurrencyLimit | None = None
        self._noise_until = 0.0
        self._noise = 1.0
        self.restart()

    def restart(self) -> None:
        """Forget what was measured, as a daemon that starts again."""
        self._state = TargetState(
            drain_s=1.0,
            cold_rate=lambda: None,
            departures=Departures(),
            on_change=lambda: None,
            on_event=lambda _event, _fields: None,
        )
        self._state._loop = self.clock  # type: ignore[assignment]

    def load(self) -> Load:
        """Return the load that the gate would announce."""
        return Load(
            in_flight=self.in_flight,
            waiting=len(self.queue),
            slots=self.slots,
            service_s=self._state.service_s,
            slowness=self._state.slowness * self._slowdown(),
        )

    def arrive(self, patience_s: float, answer: Answer) -> None:
        """Run, queue or refuse a request; ``answer(ran)`` is called."""
        if self.in_flight < self.slots:
            self._start(answer)
        elif len(self.queue) >= self.queue_size:
            answer(False)
        else:
            waiter = [answer]
            self.queue.append(waiter)
            self.clock.after(patience_s, lambda: self._time_out(waiter))

    def noise(self) -> float:
        """Return how much slower other work makes the machine now."""
        while self._noise_until <= self.clock.now:
            self._noise_until += _NOISE_S * self.rng.uniform(0.5, 1.5)
            is_slow = self.rng.random() < _NOISE_SHARE
            self._noise = _NOISE_FACTOR if is_slow else 1.0
        return self._noise

    def _slowdown(self) -> float:
        if self.limit is None:
            return 1.0
        return self.limit.slowdown(self.clock.now)

    def _start(self, answer: Answer) -> None:
        self.in_flight += 1
        began = self.clock.now
        running = None
        if self.limit is not None:
            running = self.limit.began(began, "r")
        slowness = self.noise() / self.speed
        work_s = self.rng.uniform(*self.work_s)
        if self.rng.random() < _TAIL_SHARE:
            work_s *= _TAIL_FACTOR
        self._advance()
        self._tasks.append(
            _Task(work_s * slowness, began, slowness, answer, running)
        )
        self._schedule()

    @property
    def _rate(self) -> float:
        """Progress of each running request per second."""
        busy = self.in_flight / self.announced_slots
        factor = 1 + self.contention * max(busy - 0.5, 0.0) * 2
        return 1 / (factor * self._disturbance)

    @property
    def disturbance(self) -> float:
        """Factor of service times that no response reports."""
        return self._disturbance

    @disturbance.setter
    def disturbance(self, factor: float) -> None:
        self._advance()
        self._disturbance = factor
        self._schedule()

    def _advance(self) -> None:
        """Apply the progress since the last change."""
        done = (self.clock.now - self._advanced_at) * self._last_rate
        self._advanced_at = self.clock.now
        for task in self._tasks:
            task.left_s -= done

    def _schedule(self) -> None:
        """Plan the end of the request that ends first."""
        self._last_rate = self._rate
        self._version += 1
        version = self._version
        if self._tasks:
            first = min(self._tasks, key=lambda task: task.left_s)
            self.clock.after(
                max(first.left_s, 0.0) / self._last_rate,
                lambda: self._end(first, version),
            )

    def _end(self, task: _Task, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        self._tasks.remove(task)
        now = self.clock.now
        if self.limit is not None and task.running is not None:
            self.limit.succeeded(now, task.running, task.slowness)
            self.slots = self.limit.slots(self.announced_slots)
        self.in_flight -= 1
        self.ran += 1
        self._state.note_success(now - task.began, task.slowness)
        self._schedule()
        task.answer(True)
        while self.queue and self.in_flight < self.slots:
            self._start(self.queue.pop(0)[0])

    def _time_out(self, waiter: list[Answer]) -> None:
        if any(item is waiter for item in self.queue):
            self.queue = [item for item in self.queue if item is not waiter]
            waiter[0](False)


def mean_work_s(work_s: tuple[float, float]) -> float:
    """Return the mean work of a request, with the long ones."""
    mean_s = sum(work_s) / 2
    return mean_s * (1 + _TAIL_SHARE * (_TAIL_FACTOR - 1))


def mean_noise() -> float:
    """Return the mean factor of service times by other work."""
    return 1 + _NOISE_SHARE * (_NOISE_FACTOR - 1)


def make_speeds(count: int, rng: random.Random) -> list[float]:
    """Return speeds as they occur on the users' machines."""
    speeds = [0.6, 1.0, 1.4, 1.6] * math.ceil(count / 4)
    rng.shuffle(speeds)
    return speeds[:count]
