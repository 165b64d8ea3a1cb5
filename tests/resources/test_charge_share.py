"""Bytes that several owners hold are counted until all let go."""

from __future__ import annotations

from burdockgap.resources.charge_share import ChargeShare
from burdockgap.resources.memory_budget import MemoryBudget


def test_bytes_are_counted_until_the_last_reference_is_gone():
    budget = MemoryBudget(1000)
    charge = budget.charge("responses")
    charge.force(100)
    shares = [ChargeShare(charge), ChargeShare(charge)]
    assert [share.size for share in shares] == [100, 100]
    del charge
    shares[0].release()
    shares[0].release()
    assert (shares[0].size, budget.used) == (0, 100)
    shares[1].release()
    assert budget.used == 0
