"""Who acts as coordinator while links and the store are cut."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.shards.control_site import ControlSite

NAMES = [f"m{number}" for number in range(9)]
MINORITY, MAJORITY = NAMES[6:], NAMES[:6]

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def site(monkeypatch):
    """Return a site whose coordinator is ``m0``."""
    site = ControlSite(NAMES)
    monkeypatch.setattr(asyncio, "sleep", site.sleep)
    await site.advance(6.0)
    assert site.acting() == ["m0"]
    yield site
    for name in list(site.members):
        site.stop(name)


# OWNER: a minority that reached the store made itself the voters while
# the coordinator still had a majority, so both sides granted the keys.
async def test_minority_does_not_depose_a_coordinator_with_a_majority(site):
    site.cut(MINORITY, MAJORITY)
    for _ in range(60):
        await site.advance(1.0)
        assert site.acting() == ["m0"]
    assert site.store.state.coordinator == "m0"


async def test_majority_replaces_a_coordinator_in_the_minority(site):
    site.cut(NAMES[:3], NAMES[3:])
    await site.advance(5.0)
    (acting,) = site.acting()
    assert acting in NAMES[3:]
    await site.advance(30.0)
    assert site.acting() == [acting]


# OWNER: the same with the majority cut off from the store as well, so
# that no failed write can tell its coordinator.
async def test_majority_without_the_store_gives_way_to_a_minority(site):
    site.cut(MINORITY, MAJORITY)
    site.without_store = set(MAJORITY)
    await site.advance(8.0)
    assert site.acting() == ["m0"]
    await site.advance(8.0)
    (acting,) = site.acting()
    assert acting in MINORITY
    site.cut_pairs.clear()
    site.without_store = set()
    await site.advance(3.0)
    assert site.acting() == [acting]


async def slow_down(site, name, delay_s):
    """Let a member process its datagrams later and later."""
    steps = 20
    for step in range(steps):
        site.delays[name] = delay_s * (step + 1) / steps
        await site.advance(0.5)


# CONFIG: a coordinator without processor time answered every report
# after its lease had expired, and no key was served until it ended.
@pytest.mark.parametrize("delay_s", [1.7, 2.5])
async def test_coordinator_that_answers_too_late_is_replaced(site, delay_s):
    await slow_down(site, "m0", delay_s)
    await site.advance(4.0)
    (acting,) = site.acting()
    assert acting != "m0"
    for _ in range(20):
        await site.advance(0.5)
        assert site.acting() == [acting]
        assert set(NAMES) - set(site.leased()) <= {"m0"}


# CONFIG: the slowest member missed the coordinator's answers first and
# took the role, for which it had too little processor time.
@pytest.mark.parametrize("delay_s", [1.7, 2.5, 6.0])
async def test_slow_member_does_not_depose_a_coordinator(site, delay_s):
    site.delays["m1"] = delay_s
    for _ in range(30):
        await site.advance(0.5)
        assert site.acting() == ["m0"]
        assert set(NAMES) - set(site.leased()) <= {"m1"}


async def test_coordinator_acts_without_the_store_while_all_vote(site):
    site.without_store = set(NAMES)
    await site.advance(90.0)
    assert site.acting() == ["m0"]


async def test_coordinator_acts_through_an_outage_while_a_voter_is_silent(
    site,
):
    site.without_store = set(NAMES)
    site.stop("m5")
    await site.advance(9.0)
    assert site.acting() == ["m0"]
    site.without_store = set()
    await site.advance(2.0)
    assert len(site.acting()) == 1


@pytest.mark.parametrize("lost", [NAMES[:5], NAMES[1:7], NAMES[:8]])
async def test_remaining_members_act_after_loss_of_the_majority(site, lost):
    for name in lost:
        site.stop(name)
    await site.advance(14.0)
    assert len(site.acting()) == 1


async def test_new_members_act_once_all_voters_are_gone(site):
    for name in NAMES:
        site.stop(name)
    for name in ("x", "y"):
        site.start(name)
    await site.advance(125.0)
    assert len(site.acting()) == 1


def change_at_random(site, rng):
    """Cut, heal, kill or start something."""
    kind = rng.choice(["cut", "cut", "one-way", "store", "heal", "kill"])
    names = list(NAMES)
    rng.shuffle(names)
    one = names[: rng.randint(1, 8)]
    other = [name for name in NAMES if name not in one]
    if kind == "cut":
        site.cut(one, other)
    elif kind == "one-way":
        site.cut_pairs |= {(name, target) for name in one for target in other}
    elif kind == "store":
        site.without_store = set(one)
    elif kind == "heal":
        site.cut_pairs.clear()
        site.without_store = set()
    else:
        site.stop(one[0])
    for name in NAMES:
        if name not in site.members and rng.random() < 0.4:
            site.start(name)


# OWNER: cuts of links and of the store in any order and direction.
@pytest.mark.parametrize("seed", range(12))
async def test_at_most_one_coordinator_acts_under_random_cuts(site, seed):
    rng = random.Random(seed)
    for _ in range(12):
        change_at_random(site, rng)
        await site.advance(rng.uniform(0.5, 14.0))
    site.cut_pairs.clear()
    site.without_store = set()
    for name in NAMES:
        if name not in site.members:
            site.start(name)
    await site.advance(16.0)
    assert len(site.acting()) == 1
