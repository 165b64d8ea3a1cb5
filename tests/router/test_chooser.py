from __future__ import annotations

import random
from collections import Counter

import pytest

from burdockgap.router.chooser import Chooser
from burdockgap.router.server_table import ServerTable
from tests.builders import FakeClock, make_session

NEAR = (1, 2, 3)
FAR = (4, 5, 6)
USUAL_S = 0.02


class Site:
    """Servers that answer after a set time, on a clock of its own."""

    def __init__(self, incarnation=0):
        self.clock = FakeClock()
        self.table = ServerTable(self.clock)
        self.chooser = Chooser(
            table=self.table,
            data_centre="dc1",
            incarnation=incarnation,
            rng=random.Random(1),
        )
        self.latency_s = dict.fromkeys(NEAR + FAR, USUAL_S)
        self.entries = {
            number: make_session(
                session_id=number,
                data_centre="dc1" if number in NEAR else "dc2",
            )
            for number in NEAR + FAR
        }

    def choose(self, spill_load=0.8):
        candidates = list(self.entries.values())
        return self.chooser.choose(candidates, spill_load=spill_load)

    def send(self, count):
        """Send one request after another; return who got how many."""
        got = Counter()
        for _ in range(count):
            entry = self.choose()
            got[entry.session_id] += 1
            stats = self.table.stats(entry)
            token = stats.begin()
            self.clock.time += self.latency_s[entry.session_id]
            stats.answered(token)
            stats.record_load(in_flight=0, limit=6)
            stats.end(token)
        return got

    def share_of(self, numbers, count=400):
        got = self.send(count)
        return sum(got[number] for number in numbers) / count


@pytest.fixture
def site():
    return Site()


def test_near_servers_come_first(site):
    site.send(100)
    assert site.share_of(NEAR) == 1


def test_slow_server_is_avoided_within_two_requests(site):
    site.send(100)
    site.latency_s[1] = 10 * USUAL_S
    assert site.send(100)[1] <= 2


def test_slow_server_is_tried_ever_less(site):
    site.latency_s[1] = 10 * USUAL_S
    site.send(200)
    early = site.send(500)[1]
    site.send(1000)
    late = site.send(500)[1]
    assert 0 < early <= 6
    assert late <= 2


def test_server_that_was_slow_is_used_again(site):
    site.send(100)
    site.latency_s[1] = 10 * USUAL_S
    site.send(50)
    site.latency_s[1] = USUAL_S
    site.send(300)
    assert site.share_of([1], 300) > 0.2


def test_all_near_servers_slow_spills(site):
    site.send(100)
    for number in NEAR:
        site.latency_s[number] = 10 * USUAL_S
    assert site.share_of(FAR) > 0.9


def test_silent_server_is_avoided_before_it_fails(site):
    site.send(100)
    silent = site.table.stats(site.entries[1])
    silent.begin()
    site.clock.time += 5 * USUAL_S
    for number in (2, 3):
        site.table.stats(site.entries[number]).begin()
    assert Counter(site.choose().session_id for _ in range(100))[1] == 0


def test_unanswered_attempts_count_as_slow(site):
    """Hedges and deadlines cancel attempts that show a slow server."""
    site.send(100)
    stats = site.table.stats(site.entries[1])
    for _ in range(2):
        token = stats.begin()
        site.clock.time += 20 * USUAL_S
        stats.end(token)
    assert site.send(20)[1] == 0


@pytest.mark.parametrize(
    ("spill_load", "servers"),
    [pytest.param(0.6, FAR, id="spill"), pytest.param(0.9, NEAR, id="stay")],
)
def test_crowded_near_servers_spill(site, spill_load, servers):
    site.send(100)
    for number in NEAR:
        stats = site.table.stats(site.entries[number])
        stats.record_load(in_flight=5, limit=6)
    site.clock.time += 0.1
    assert site.choose(spill_load).session_id in servers


def test_lower_limit_gets_less(site):
    """A cold server reports a limit of one slot."""
    site.send(100)
    cold = site.table.stats(site.entries[1])
    cold.record_load(in_flight=0, limit=1)
    for number in NEAR:
        site.table.stats(site.entries[number]).begin()
    assert Counter(site.choose().session_id for _ in range(100))[1] == 0


def test_unreachable_server_is_avoided_for_a_moment(site):
    site.send(100)
    site.table.stats(site.entries[1]).failed()
    assert site.send(20)[1] == 0
    site.clock.time += 10
    assert site.send(100)[1] > 10


def test_own_server_comes_first_until_it_is_busier():
    site = Site(incarnation=101)
    assert site.share_of([1]) > 0.9
    own = site.table.stats(site.entries[1])
    for _ in range(3):
        own.begin()
    assert Counter(site.choose().session_id for _ in range(100))[1] == 0
