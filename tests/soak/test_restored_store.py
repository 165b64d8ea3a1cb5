"""The store of a soak run returns from copies."""

from __future__ import annotations

import asyncio
import random

import pytest

from soak import restored_store
from soak.invariants import EVACUATION_S
from soak.restored_store import RestoredStore
from soak.site import Site

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def site(tmp_path, monkeypatch):
    monkeypatch.setattr(restored_store, "_INTERVAL_S", (0.01, 0.05))
    monkeypatch.setattr(restored_store, "_AGE_S", (0.01, 0.1))
    monkeypatch.setattr(restored_store, "_DOWN_S", (0.01, 0.03))
    monkeypatch.setattr(restored_store, "_WRITE_AGAIN_S", (0.01, 0.02))
    monkeypatch.setattr(restored_store, "_NEXT_CHANGE_S", (0.01, 0.03))
    return Site(net="127.19", folder=tmp_path, size=3)


async def test_store_loses_writes_and_all_documents_come_back(site):
    site.operators.change_configuration()
    log = []
    faults = RestoredStore(site, random.Random(1), log.append)
    await faults.run(asyncio.get_running_loop().time() + 0.3)
    returns = [line for line in log if line.startswith("store restored")]
    assert len(returns) > 2
    assert site.store.generation == 1 + len(returns)
    assert not site.store.down
    config = site.store.value("keyed.op", "config")
    assert f'"{site.operators.version:08x}"'.encode() in config
    assert site.operators.version == 1 + 2 * len(returns)
    for data_centre in ("tanta", "mansoura", "zagazig"):
        key = f"evacuate/{data_centre}"
        assert not site.store.value("keyed.op", key)


async def test_store_fault_lasts_until_all_have_ended(site):
    site.begin_store_fault("down")
    site.begin_store_fault("down")
    site.end_store_fault("down")
    assert site.store.down
    assert site.store_undisturbed_s() == 0.0
    site.end_store_fault("down")
    assert not site.store.down
    await asyncio.sleep(0.01)
    assert 0.0 < site.store_undisturbed_s() < 1.0


@pytest.mark.parametrize(
    ("since_store_fault_s", "due"), [(2.9, False), (3.1, True)]
)
async def test_evacuation_is_due_when_the_store_is_stable(
    site, since_store_fault_s, due
):
    site.operators.begin_evacuation("tanta")
    site.operators.evacuated_at["tanta"] -= EVACUATION_S
    site.begin_store_fault("down")
    site.end_store_fault("down")
    site.store_fault_ended_at -= since_store_fault_s
    assert (site.evacuated_for_s("tanta") >= EVACUATION_S) == due
    assert site.evacuated_for_s("mansoura") == 0.0
