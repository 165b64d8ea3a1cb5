"""Short runs of the soak, and every seed that ever failed."""

from __future__ import annotations

import pytest

from soak.run import run_seed

SECONDS = 8.0

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(7, id="seed-7"),
    ],
)
async def test_soak_keeps_the_promises(seed, tmp_path):
    result = await run_seed(seed, seconds=SECONDS, size=4, folder=tmp_path)
    assert result.broken == []
    assert result.statuses[200] > 100
