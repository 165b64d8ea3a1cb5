"""The count of the bytes that a process holds."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.resources.claim import Claim
from burdockgap.resources.descriptor_limit import DescriptorLimit
from burdockgap.resources.memory_budget import MemoryBudget

_KIB = 1024


def test_claims_above_the_limit_are_refused():
    """Memory must not grow with the number of messages."""
    budget = MemoryBudget(1000)
    charge = budget.charge("bodies")
    assert charge.grow(600)
    assert not budget.charge("frames").grow(401)
    assert budget.used == budget.held["bodies"] == 600
    assert budget.refused == 1


def test_large_messages_leave_a_reserve():
    """Small requests and heartbeats must get in beside large ones."""
    budget = MemoryBudget(1000 * _KIB, reserve_share=0.1)
    assert not budget.charge("bodies").grow(901 * _KIB)
    large = budget.charge("bodies")
    assert large.grow(900 * _KIB)
    small = budget.charge("heads")
    assert small.grow(50 * _KIB)
    assert not budget.charge("heads").grow(1)
    control = budget.charge("heads", is_control=True)
    assert control.grow(50 * _KIB)
    assert not budget.fits(1, Claim.CONTROL)


def test_bytes_are_credited_once():
    """A count that drifts would refuse everything in the end."""
    budget = MemoryBudget(1000)
    charge = budget.charge("bodies")
    charge.grow(500)
    charge.shrink_to(200)
    assert budget.used == 200
    charge.release()
    charge.release()
    del charge
    assert budget.used == budget.held["bodies"] == 0


def test_bytes_of_a_dropped_owner_are_credited():
    """A cancelled task releases nothing itself."""
    budget = MemoryBudget(1000)
    charge = budget.charge("responses")
    charge.force(1500)
    assert budget.used == 1500
    assert not budget.fits(1)
    del charge
    assert budget.used == 0


def test_full_budget_asks_for_memory_before_it_refuses():
    """Connections without progress must make way for others."""
    budget = MemoryBudget(1000)
    stalled = budget.charge("responses")
    stalled.grow(900)
    missing = []

    def free(size):
        missing.append(size)
        stalled.release()

    budget.on_full = free
    assert budget.charge("bodies").grow(300)
    assert missing == [200]
    assert budget.refused == 0


def test_held_bytes_are_credited_when_the_context_fails():
    """An error must not leave bytes counted."""
    budget = MemoryBudget(1000)
    used = []

    def fail():
        with budget.hold(700, "replies"):
            used.append(budget.used)
            raise asyncio.CancelledError

    with pytest.raises(asyncio.CancelledError):
        fail()
    assert (used, budget.used) == ([700], 0)


@pytest.mark.parametrize(
    ("descriptors", "connections"), [(4100, 2340), (500, 180), (100, 16)]
)
def test_descriptors_are_kept_for_the_daemon(descriptors, connections):
    """Callers must not use up those for other daemons and the store."""
    assert DescriptorLimit(descriptors).connections == connections
