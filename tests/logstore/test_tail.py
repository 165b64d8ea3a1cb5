from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel

from burdockgap.fold.folds import Folds
from burdockgap.fold.loader import SnapshotLoader
from burdockgap.fold.snapshot import make_chunks
from burdockgap.logstore.tail import Tail
from burdockgap.records.streams import CONTROL
from burdockgap.wire import pack
from standins.memory_log import MemoryLog
from tests.builders import make_claim


class HangingLog(MemoryLog):
    """A log whose reads hang while ``hanging`` is set."""

    hanging = False
    reads = 0

    async def read(self, stream, from_offset, *, wait, limit):
        self.reads += 1
        if self.hanging:
            await anyio.sleep_forever()
        return await super().read(stream, from_offset, wait=wait, limit=limit)


@asynccontextmanager
async def run_tail(log, wait_s=5):
    folds = Folds()
    loader = SnapshotLoader(log, folds)
    tail = Tail(log, folds, CONTROL, loader, wait_s=wait_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tail.run)
        with anyio.fail_after(5):
            yield folds, tail
        tasks.cancel_scope.cancel()


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.01)


def append_claims(log, terms):
    for term in terms:
        log.store.append(CONTROL, pack(make_claim(term=term)))


def test_tail_follows_and_recovers():
    async def main():
        log = MemoryLog()
        append_claims(log, [1])
        async with run_tail(log) as (folds, tail):
            assert not tail.healthy
            await wait_until(lambda: tail.caught_up)
            assert folds.control.term == 1
            log.set_down(True)
            await wait_until(lambda: not tail.healthy)
            append_claims(log, [2, 3])
            log.set_down(False)
            assert await folds.wait_offset(CONTROL, 3, 2)
            assert tail.healthy
            assert folds.control.term == 3

    anyio.run(main)


def test_tail_loads_snapshot_after_trim():
    async def main():
        log = MemoryLog()
        append_claims(log, [1])
        async with run_tail(log) as (folds, tail):
            await wait_until(lambda: tail.caught_up)
            log.set_down(True)
            append_claims(log, [2, 3])
            other = Folds()
            page = log.store.page(CONTROL, 0, 9)
            for offset, data in enumerate(page.records):
                other.apply(CONTROL, offset, data)
            for chunk in make_chunks(other, term=3):
                log.store.append(CONTROL, pack(chunk))
            log.store.trim(CONTROL, 3)
            log.set_down(False)
            assert await folds.wait_offset(CONTROL, 4, 2)
            assert (folds.installs, folds.control.term) == (1, 3)

    anyio.run(main)


def test_tail_rejects_shorter_log():
    async def main():
        log = MemoryLog()
        append_claims(log, [1, 2])
        async with run_tail(log, wait_s=0.1) as (folds, tail):
            await wait_until(lambda: tail.caught_up)
            log.store = MemoryLog().store
            await wait_until(lambda: not tail.healthy)
            assert folds.control.term == 2

    anyio.run(main)


def test_tail_while_peer_supplies_records():
    records = [pack(make_claim(term=term)) for term in (1, 2, 3)]

    class OutpacedLog(MemoryLog):
        folds = None

        async def read(self, stream, from_offset, *, wait, limit):
            page = await super().read(
                stream, from_offset, wait=wait, limit=limit
            )
            for offset, data in enumerate(records):
                self.folds.apply(CONTROL, offset, data)
            return page

    async def main():
        log = OutpacedLog()
        log.store.append(CONTROL, records[0])
        async with run_tail(log) as (folds, tail):
            log.folds = folds
            await wait_until(lambda: tail.healthy)
            assert folds.control.term == 3
            log.store.append(CONTROL, records[1])
            log.store.append(CONTROL, records[2])
            append_claims(log, [4])
            assert await folds.wait_offset(CONTROL, 4, 2)
            assert folds.control.term == 4

    anyio.run(main)


def test_restart_read_replaces_hanging_read():
    async def main():
        log = HangingLog()
        log.hanging = True
        async with run_tail(log) as (folds, tail):
            await wait_until(lambda: log.reads == 1)
            append_claims(log, [1])
            log.hanging = False
            tail.restart_read()
            assert await folds.wait_offset(CONTROL, 1, 1)

    anyio.run(main)


def test_restart_read_is_rate_limited():
    async def main():
        log = HangingLog()
        log.hanging = True
        async with run_tail(log) as (_folds, tail):
            await wait_until(lambda: log.reads == 1)
            for _ in range(20):
                tail.restart_read()
                await anyio.lowlevel.checkpoint()
            await anyio.sleep(0.05)
            assert log.reads == 2

    anyio.run(main)
