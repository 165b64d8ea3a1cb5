"""Components that fail unexpectedly."""

from __future__ import annotations

import pytest

from burdockgap.sidecar import supervision
from burdockgap.sidecar.supervision import keep_running

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_failed_component_is_run_again(monkeypatch):
    monkeypatch.setattr(supervision, "_RESTART_DELAY_S", 0.01)
    runs, events = [], []

    async def run_twice_in_vain():
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("member")

    await keep_running(
        run_twice_in_vain,
        on_event=lambda event, fields: events.append((event, fields["why"])),
    )
    assert len(runs) == 3
    assert events == [("component_failed", "KeyError('member')")] * 2
