from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from burdockgap.daemon.catch_up import CatchUp
from burdockgap.fold.folds import Folds
from burdockgap.peer.messages.pulled import Pulled
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire import pack
from tests.builders import make_claim

PEER = "127.0.0.1:7"
RECORD = pack(make_claim())


class Tail:
    def __init__(self, *, healthy):
        self.healthy = healthy
        self.pokes = 0

    def restart_read(self):
        self.pokes += 1


class Pool:
    def __init__(self):
        self.called = []

    async def call(self, address, _method, msg, _timeout_s):
        self.called.append(address)
        return Pulled(first=msg.from_offset, records=[RECORD])


async def catch_up(*, healthy, arrives):
    folds = Folds()
    tails = {CONFIG: Tail(healthy=True), CONTROL: Tail(healthy=healthy)}
    pool = Pool()
    catching = CatchUp(folds=folds, tails=tails, pool=pool)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(catching.run, CONTROL)
        catching.on_offsets(PEER, 0, 1)
        if arrives:
            folds.apply(CONTROL, 0, RECORD)
        await anyio.sleep(0.8)
        tasks.cancel_scope.cancel()
    return SimpleNamespace(
        offset=folds.offset(CONTROL),
        pokes=tails[CONTROL].pokes,
        called=pool.called,
    )


@pytest.mark.parametrize(
    ("healthy", "arrives", "pokes", "called", "offset"),
    [
        pytest.param(True, True, 0, [], 1, id="record-arrives"),
        pytest.param(True, False, 1, [], 0, id="log-answers"),
        pytest.param(False, False, 1, [PEER], 1, id="log-is-down"),
    ],
)
def test_catch_up_when_behind(healthy, arrives, pokes, called, offset):
    found = anyio.run(lambda: catch_up(healthy=healthy, arrives=arrives))
    assert found.pokes >= pokes
    assert bool(found.pokes) == bool(pokes)
    assert set(found.called) == set(called)
    assert found.offset == offset
