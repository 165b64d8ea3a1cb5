"""
Tests of what a coordinator sends while it balances a large service.

The pattern: hundreds of members, one keyed service that is busy beyond
its capacity, and a coordinator on a slow link, which moves ranges in
every balancing run and tells all members.
"""

from __future__ import annotations

import random

from burdockgap.shards.assigner import _BALANCE_INTERVAL_S
from burdockgap.shards.control_changes import ControlChanges
from burdockgap.shards.control_state import ControlState
from burdockgap.shards.key_rates import KeyRates
from burdockgap.shards.planner import Server, assign_unowned, balance
from burdockgap.shards.shard import KEY_COUNT, merge_adjacent
from tests.shards.builders import SERVICE

MEMBER_COUNT = 222
SERVER_COUNT = 93
LINK_BITS_PER_S = 10e6
PACKET_BYTES = 1400
RUNS = 20


def make_busy_service():
    """Return a state, its servers and rates that change its balance."""
    rng = random.Random(7)
    data_centres = (
        "tanta",
        "mansoura",
        "zagazig",
        "damanhour",
        "kafr-elsheikh",
    )
    names = [
        f"sidecar-{data_centres[number % 5]}-{number // 5 + 1}"
        for number in range(MEMBER_COUNT)
    ]
    servers = {
        name: Server(
            name=name, born=1772245294630, capacity=rng.uniform(5, 15)
        )
        for name in names[:SERVER_COUNT]
    }
    state = ControlState(
        term=4,
        revision=40,
        coordinator=names[0],
        incarnation=2**60 + 1,
        voters=tuple(sorted(names)),
        generation=1,
    )
    rates = KeyRates(0.0, KEY_COUNT)
    assign_unowned(state, SERVICE, servers, rates, gone=set())
    return state, servers, rates, rng


def balancing_runs():
    """Yield the states before and after each balancing run."""
    state, servers, rates, rng = make_busy_service()
    for _ in range(RUNS):
        keys = [rng.randrange(KEY_COUNT) for _ in range(400)]
        rates.add(len(keys), keys)
        after = state.successor()
        if balance(after, SERVICE, servers, rates):
            after.shards[SERVICE] = merge_adjacent(after.shards[SERVICE])
            yield state, after
        state = after


# Guards against keys without leases because the coordinator's link is
# full of its own announcements (CONFIG on the drawn day fresh-ce29).
def test_announcements_of_moves_fit_the_coordinators_link():
    sizes = [
        len(ControlChanges.between(before, after).encode())
        for before, after in balancing_runs()
    ]
    assert sizes
    bits_per_s = max(sizes) * 8 * MEMBER_COUNT / _BALANCE_INTERVAL_S
    assert bits_per_s < LINK_BITS_PER_S


def test_an_announcement_fits_one_packet():
    for before, after in balancing_runs():
        assert (
            len(ControlChanges.between(before, after).encode()) <= PACKET_BYTES
        )
