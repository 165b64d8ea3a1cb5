"""A simulated site: daemons, their load reports and their servers."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

from tests.scheduling.choices import make_server_member
from tests.scheduling.simulated_server import (
    SimulatedServer,
    make_speeds,
    mean_noise,
    mean_work_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.load import Load
    from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
    from tests.scheduling.choices import Choice

_BEACON_S = 1.0
_TRANSIT_S = (0.0005, 0.002)
_MAX_TRIES = 4
_GIVE_UP_SHARE = 0.2
_QUEUE_SHARE = 0.5


class SimulatedClock:
    """Runs events in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def time(self) -> float:
        """Return the time, as an event loop does."""
        return self.now

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Run an event later."""
        heapq.heappush(
            self._events, (self.now + seconds, next(self._order), event)
        )

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until


class Site:
    """
    Servers of one service, and daemons that send requests to them.

    :param make_choice: returns a daemon's choice; called with its name,
        the clock, its server's load and a seed.
    :param daemons: number of daemons; the first ones have a server.
    :param load: share of the servers' capacity that is asked for.
    :param objective: latency objective, as a multiple of the mean work.
    :param contended: share of servers that slow down when nearly full.
    """

    def __init__(
        self,
        make_choice: Callable[..., Choice],
        *,
        servers: int,
        slots: int,
        work_s: tuple[float, float],
        daemons: int = 86,
        load: float = 0.5,
        objective: float = 5.0,
        contended: float = 0.25,
        seed: int = 1,
        make_limit: Callable[[], ConcurrencyLimit] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        speeds = make_speeds(servers, self.rng)
        self.servers: dict[str, SimulatedServer] = {}
        for index, speed in enumerate(speeds):
            name = f"m{index}"
            server = self.servers[name] = SimulatedServer(
                self.clock,
                name,
                slots=slots,
                work_s=work_s,
                speed=speed,
                contention=1.0 if self.rng.random() < contended else 0.0,
                rng=random.Random(f"{seed}/{index}"),
            )
            if make_limit is not None:
                server.limit = make_limit()
        self.choices: dict[str, Choice] = {}
        for index in range(max(daemons, servers)):
            name = f"m{index}"
            own = self.servers.get(name)
            self.choices[name] = make_choice(
                name,
                self.clock,
                own.load if own is not None else None,
                seed * 1000 + index,
            )
        self.members = {
            name: make_server_member(name) for name in self.servers
        }
        mean_s = mean_work_s(work_s) * mean_noise()
        self.rate = load * slots * sum(speeds) / mean_s
        self.objective_s = objective * mean_s
        self.reset()
        for name in self.servers:
            self._beacon(name)
        self.clock.after(0.0, self._arrive)

    def reset(self) -> None:
        """Start to count anew."""
        self.requests = self.refusals = self.failed = self.late = 0
        self.repeated_refusals = 0
        self.latencies: list[float] = []
        self.began = self.clock.now
        for server in self.servers.values():
            server.ran = 0

    def run(self, seconds: float) -> None:
        """Run the site for some time."""
        self.clock.run(self.clock.now + seconds)

    def shares(self) -> dict[str, float]:
        """Return the servers' requests relative to their speeds."""
        ran = sum(server.ran for server in self.servers.values())
        speed = sum(server.speed for server in self.servers.values())
        return {
            name: (server.ran / max(ran, 1)) / (server.speed / speed)
            for name, server in self.servers.items()
        }

    def _beacon(self, name: str) -> None:
        member = self.members[name]
        member.load = self.servers[name].load()
        for choice in self.choices.values():
            choice.heard(member)
        self.clock.after(
            _BEACON_S * self.rng.uniform(0.9, 1.1), lambda: self._beacon(name)
        )

    def _arrive(self) -> None:
        self.clock.after(self.rng.expovariate(self.rate), self._arrive)
        self.requests += 1
        choice = self.rng.choice(list(self.choices.values()))
        self._try(choice, self.clock.now, set())

    def _try(self, choice: Choice, arrived_at: float, tried: set[str]) -> None:
        name = choice.best(tried)
        waited_s = self.clock.now - arrived_at
        gives_up = tried and waited_s >= _GIVE_UP_SHARE * self.objective_s
        if name is None or len(tried) >= _MAX_TRIES or gives_up:
            self.failed += 1
            return
        is_repeated = bool(tried)
        tried.add(name)
        sent_at = choice.sent(name)
        server = self.servers[name]
        patience_s = max(_QUEUE_SHARE * self.objective_s - waited_s, 0.0)

        def answer(ran: bool) -> None:
            load = server.load()
            self.clock.after(
                self.rng.uniform(*_TRANSIT_S), lambda: end(ran, load)
            )

        def end(ran: bool, load: Load) -> None:
            choice.answered(name, sent_at, load, ran=ran)
            if ran:
                took_s = self.clock.now - arrived_at
                self.latencies.append(took_s)
                self.late += took_s > self.objective_s
                return
            self.refusals += 1
            self.repeated_refusals += is_repeated
            self._try(choice, arrived_at, tried)

        self.clock.after(
            self.rng.uniform(*_TRANSIT_S),
            lambda: server.arrive(patience_s, answer),
        )
