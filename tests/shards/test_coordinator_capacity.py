"""
Tests of the choice of a coordinator among machines that differ.

The pattern: most machines of a site have too little processor time or
link to answer the reports of all members, a few have enough.
"""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.shards.coordinator_capacity import (
    coordinator_capacity,
    outranks,
)
from tests.shards.builders import make_member
from tests.shards.control_site import ControlSite

NAMES = [f"m{number}" for number in range(9)]
SMALL, LARGE = 4, 40

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def site(monkeypatch):
    """Return a site whose two last machines are large."""
    capacities = dict.fromkeys(NAMES, SMALL) | {"m7": LARGE, "m8": LARGE}
    site = ControlSite(NAMES, capacities)
    monkeypatch.setattr(asyncio, "sleep", site.sleep)
    yield site
    for name in list(site.members):
        site.stop(name)


# CONFIG: the role passed on by name to a machine that could not answer
# all members, and no key was served.
async def test_role_passes_on_to_a_large_machine(site):
    await site.advance(6.0)
    (first,) = site.acting()
    assert first in {"m7", "m8"}
    site.stop(first)
    await site.advance(5.0)
    (second,) = site.acting()
    assert {first, second} == {"m7", "m8"}
    assert set(site.leased()) == set(NAMES) - {first}


async def test_small_coordinator_gives_way_to_a_large_machine(site):
    site.stop("m7")
    site.stop("m8")
    await site.advance(8.0)
    (acting,) = site.acting()
    assert acting in NAMES[:7]
    site.start("m8")
    await site.advance(6.0)
    assert site.acting() == ["m8"]
    await site.advance(20.0)
    assert site.acting() == ["m8"]


async def test_slow_large_machine_does_not_depose_a_small_one(site):
    site.stop("m7")
    site.stop("m8")
    await site.advance(8.0)
    acting = site.acting()
    site.delays["m8"] = 2.0
    site.start("m8")
    await site.advance(10.0)
    assert site.acting() == acting
    assert set(NAMES[:7]) <= set(site.leased())


@pytest.mark.parametrize(
    ("cores", "mbit_per_s", "most"),
    [(0.43, 20, 222), (2.15, 10, 222), (2.15, 5, 90)],
)
def test_machines_that_are_too_small(cores, mbit_per_s, most):
    assert 0 < coordinator_capacity(cores, mbit_per_s * 125_000) <= most


def test_large_machine_serves_the_planned_size():
    assert coordinator_capacity(2.15, 200 * 125_000) > 730


@pytest.mark.parametrize(
    ("own", "coordinator", "count", "expected"),
    [
        pytest.param(1000, 200, 250, True, id="too-small"),
        pytest.param(1000, 300, 250, False, id="large-enough"),
        pytest.param(350, 200, 250, False, id="hardly-larger"),
        pytest.param(1000, 0, 250, False, id="unknown"),
    ],
)
def test_outranks(own, coordinator, count, expected):
    own = make_member("a", capacity=own)
    coordinator = make_member("b", capacity=coordinator)
    assert outranks(own, coordinator, count) is expected


def test_member_that_leaves_does_not_outrank():
    own = make_member("a", capacity=1000, leaving=True)
    assert not outranks(own, make_member("b", capacity=200), 250)
