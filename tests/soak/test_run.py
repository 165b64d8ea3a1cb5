"""A short soak run, and runs with seeds that failed before."""

from __future__ import annotations

import pytest

from soak.run import run_seed

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("seed", "seconds", "size"),
    [
        pytest.param(7, 8.0, 4, id="short"),
        # OWNER: a grant was renewed at a server that had restarted
        # under the same id.
        pytest.param(122, 20.0, 6, id="new-life-of-a-server"),
        # OWNER and CONFIG: tokens and offsets of a store that was
        # restored from a copy were compared with those before.
        pytest.param(1173, 20.0, 6, id="restored-store"),
    ],
)
async def test_soak_keeps_the_promises(seed, seconds, size, tmp_path):
    result = await run_seed(seed, seconds=seconds, size=size, folder=tmp_path)
    assert result.violations == []
    assert result.statuses[200] > 100


# BUDGET: a request that crashes servers was passed on again by daemons
# that had restarted, and was not recognized without other traffic.
async def test_soak_refuses_a_request_that_crashes_servers(tmp_path):
    result = await run_seed(
        58, seconds=20.0, size=6, folder=tmp_path, crashing=True
    )
    assert result.violations == []
    assert any("crashes the server" in line for line in result.faults)
