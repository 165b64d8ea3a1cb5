"""The learned concurrency of a server."""

from __future__ import annotations

import random

import pytest

from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
from tests.scheduling.simulated_server import SimulatedServer
from tests.scheduling.site import SimulatedClock

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class LimitedServer:
    """
    A server with a limit, at a rate of requests.

    :param contention: how much longer work takes with all slots in use.
    :param load: requests per second, relative to its uncontended rate.
    """

    def __init__(self, *, slots=3, contention=0.0, load=0.5, seed=1):
        self.clock = SimulatedClock()
        self.rng = random.Random(seed)
        self.server = SimulatedServer(
            self.clock,
            "m1",
            slots=slots,
            work_s=(0.04, 0.18),
            speed=1.0,
            contention=contention,
            rng=random.Random(seed + 1),
        )
        self.limit = self.server.limit = ConcurrencyLimit()
        self.rate = load * slots / (0.13 * 1.4)
        self.lowest = slots
        self.clock.after(0.0, self._arrive)

    def run(self, seconds):
        """Run for some time; record the fewest slots."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.run(self.clock.now + 0.1)
            self.lowest = min(self.lowest, self.server.slots)

    @property
    def slowdown(self):
        """The slowdown that the limit has noticed."""
        return self.limit.slowdown(self.clock.now)

    def _arrive(self):
        self.clock.after(self.rng.expovariate(self.rate), self._arrive)
        self.server.arrive(0.3, lambda _ran: None)


# A third of the room is lost with one of three slots.
@pytest.mark.parametrize("load", [0.3, 0.6, 0.9, 1.5])
@pytest.mark.parametrize("slots", [3, 9])
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_limit_keeps_all_slots_of_a_server_that_uses_them(
    load, slots, seed
):
    server = LimitedServer(slots=slots, load=load, seed=seed)
    server.run(120)
    assert server.lowest == slots


# Requests pile up at a server that is slow for another reason.
@pytest.mark.parametrize("factor", [2.0, 5.0])
@pytest.mark.parametrize("slots", [3, 9])
async def test_limit_is_not_lowered_by_slowness_of_other_causes(factor, slots):
    server = LimitedServer(slots=slots, load=0.5)
    for _ in range(10):
        server.run(10)
        server.server.disturbance = factor
        server.run(6)
        server.server.disturbance = 1.0
    assert server.lowest == slots


# With all slots in use, the server serves a quarter less than with two.
# A saturated server is seen at the highest level only, so that not all
# runs learn the limit.
async def test_limit_is_lowered_where_fewer_slots_serve_more():
    lowest = []
    for seed in range(10):
        server = LimitedServer(contention=3.0, load=0.4, seed=seed)
        server.run(120)
        lowest.append(server.lowest)
    assert lowest.count(2) >= 4
    assert min(lowest) == 2


async def test_slow_server_is_noticed_and_forgotten():
    noticed, forgotten = [], []
    for seed in range(20):
        server = LimitedServer(load=0.6, seed=seed)
        server.run(20)
        server.server.disturbance = 5.0
        server.run(1.0)
        noticed.append(server.slowdown > 2)
        server.run(5.0)
        server.server.disturbance = 1.0
        server.run(3.0)
        forgotten.append(server.slowdown < 1.5)
    assert sum(noticed) >= 15
    assert all(forgotten)


async def test_slots_stay_between_one_and_the_announced():
    limit = ConcurrencyLimit()
    assert limit.slots(3) == 3
    limit.limit = 0
    assert limit.slots(3) == 1
    limit.limit = 5
    assert limit.slots(3) == 3


# With little load, a limit rises past the announced slots. It is not
# lowered from there, as no request is measured at these levels.
async def test_limit_is_lowered_again_after_a_time_of_little_load():
    learned, again = 0, 0
    for seed in range(10):
        server = LimitedServer(contention=3.0, load=0.4, seed=seed)
        rate = server.rate
        server.run(120)
        if server.lowest == 3:
            continue
        learned += 1
        server.rate = 0.5
        server.run(90)
        server.rate, server.lowest = rate, 3
        server.run(120)
        again += server.lowest == 2
    assert learned >= 4
    assert again >= learned / 2
