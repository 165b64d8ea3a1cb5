from __future__ import annotations

import random
from collections import Counter

import pytest

from burdockgap.router.chooser import Chooser
from burdockgap.router.server_table import ServerTable
from tests.builders import FakeClock, make_session

NEAR = (1, 2, 3)
FAR = (4, 5, 6)
NORMAL_LATENCY_S = 0.02


class FakeCluster:
    """Servers with fixed latencies on a simulated clock."""

    def __init__(self, incarnation=0):
        self.clock = FakeClock()
        self.table = ServerTable(self.clock)
        self.chooser = Chooser(
            table=self.table,
            data_centre="dc1",
            incarnation=incarnation,
            rng=random.Random(1),
        )
        self.latency_s = dict.fromkeys(NEAR + FAR, NORMAL_LATENCY_S)
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
        """Send requests in sequence; return the count per server."""
        got = Counter()
        for _ in range(count):
            entry = self.choose()
            got[entry.session_id] += 1
            stats = self.table.stats(entry)
            token = stats.begin()
            self.clock.time += self.latency_s[entry.session_id]
            stats.record_answer(token)
            stats.record_load(in_flight=0, limit=6)
            stats.end(token)
        return got

    def share_of(self, numbers, count=400):
        got = self.send(count)
        return sum(got[number] for number in numbers) / count


@pytest.fixture
def cluster():
    return FakeCluster()


def test_near_servers_are_preferred(cluster):
    cluster.send(100)
    assert cluster.share_of(NEAR) == 1


def test_slow_server_is_avoided_within_two_requests(cluster):
    cluster.send(100)
    cluster.latency_s[1] = 10 * NORMAL_LATENCY_S
    assert cluster.send(100)[1] <= 2


def test_slow_server_is_tried_less_and_less_often(cluster):
    cluster.latency_s[1] = 10 * NORMAL_LATENCY_S
    cluster.send(200)
    early = cluster.send(500)[1]
    cluster.send(1000)
    late = cluster.send(500)[1]
    assert 0 < early <= 6
    assert late <= 2


def test_server_that_was_slow_is_used_again(cluster):
    cluster.send(100)
    cluster.latency_s[1] = 10 * NORMAL_LATENCY_S
    cluster.send(50)
    cluster.latency_s[1] = NORMAL_LATENCY_S
    cluster.send(300)
    assert cluster.share_of([1], 300) > 0.2


def test_requests_spill_if_all_near_servers_are_slow(cluster):
    cluster.send(100)
    for number in NEAR:
        cluster.latency_s[number] = 10 * NORMAL_LATENCY_S
    assert cluster.share_of(FAR) > 0.9


def test_silent_server_is_avoided_before_it_fails(cluster):
    cluster.send(100)
    silent = cluster.table.stats(cluster.entries[1])
    silent.begin()
    cluster.clock.time += 5 * NORMAL_LATENCY_S
    for number in (2, 3):
        cluster.table.stats(cluster.entries[number]).begin()
    assert Counter(cluster.choose().session_id for _ in range(100))[1] == 0


def test_unanswered_attempts_count_as_slow(cluster):
    """An attempt cancelled by a hedge or deadline counts as slow."""
    cluster.send(100)
    stats = cluster.table.stats(cluster.entries[1])
    for _ in range(2):
        token = stats.begin()
        cluster.clock.time += 20 * NORMAL_LATENCY_S
        stats.end(token)
    assert cluster.send(20)[1] == 0


@pytest.mark.parametrize(
    ("spill_load", "servers"),
    [pytest.param(0.6, FAR, id="spill"), pytest.param(0.9, NEAR, id="stay")],
)
def test_requests_spill_if_near_servers_are_loaded(
    cluster, spill_load, servers
):
    cluster.send(100)
    for number in NEAR:
        stats = cluster.table.stats(cluster.entries[number])
        stats.record_load(in_flight=5, limit=6)
    cluster.clock.time += 0.1
    assert cluster.choose(spill_load).session_id in servers


def test_lower_limit_gets_less(cluster):
    """A cold server reports a limit of one slot."""
    cluster.send(100)
    cold = cluster.table.stats(cluster.entries[1])
    cold.record_load(in_flight=0, limit=1)
    for number in NEAR:
        cluster.table.stats(cluster.entries[number]).begin()
    assert Counter(cluster.choose().session_id for _ in range(100))[1] == 0


def test_unreachable_server_is_avoided_for_a_time(cluster):
    cluster.send(100)
    cluster.table.stats(cluster.entries[1]).record_unreachable()
    assert cluster.send(20)[1] == 0
    cluster.clock.time += 10
    assert cluster.send(100)[1] > 10


def test_own_server_is_preferred_until_it_is_busier():
    cluster = FakeCluster(incarnation=101)
    assert cluster.share_of([1]) > 0.9
    own = cluster.table.stats(cluster.entries[1])
    for _ in range(3):
        own.begin()
    assert Counter(cluster.choose().session_id for _ in range(100))[1] == 0
