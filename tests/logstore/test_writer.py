from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest
from returns.pipeline import is_successful

from burdockgap.fold.folds import Folds
from burdockgap.fold.loader import SnapshotLoader
from burdockgap.logstore import LogUncertain
from burdockgap.logstore.http_log import open_http_log
from burdockgap.logstore.tail import Tail
from burdockgap.logstore.write_error import WriteState
from burdockgap.logstore.writer import Writer
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.streams import CONFIG
from standins.memory_log import MemoryLog
from tests.builders import make_change


@asynccontextmanager
async def run_writer(log, wait_s=1.0):
    folds = Folds()
    tail = Tail(log, folds, CONFIG, SnapshotLoader(log, folds), wait_s=wait_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tail.run)
        with anyio.fail_after(10):
            yield (
                folds,
                Writer(log, folds, lambda _stream: tail.restart_read()),
            )
        tasks.cancel_scope.cancel()


def make_data_centre_out(name="dc1", **fields):
    return make_change(SetDataCentre(name=name, out=True), **fields)


class LostAppendsLog(MemoryLog):
    """A log that loses its first appends before they take effect."""

    appends_to_lose = 1

    async def append(self, stream, record):
        if self.appends_to_lose:
            self.appends_to_lose -= 1
            raise LogUncertain("the connection was lost")
        return await super().append(stream, record)


class FailingLog(MemoryLog):
    """A log that goes down during its first append, written or not."""

    fail_next_append = True
    written = True

    async def append(self, stream, record):
        if not self.fail_next_append:
            return await super().append(stream, record)
        self.fail_next_append = False
        if self.written:
            self.store.append(stream, record)
        self.set_down(True)
        raise LogUncertain("the connection was lost")


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_append_once_reply_lost(lost):
    async def main():
        log = MemoryLog()
        log.faults.lose_replies = lost
        change = make_data_centre_out()
        async with run_writer(log) as (folds, writer):
            result = await writer.append_once(CONFIG, change, 3)
            assert result.unwrap() == 1
            assert folds.config.decision_of(change.record_id).accepted
        assert log.appends == 1

    anyio.run(main)


def test_append_once_record_lost():
    async def main():
        log = LostAppendsLog()
        async with run_writer(log) as (folds, writer):
            assert is_successful(
                await writer.append_once(CONFIG, make_data_centre_out(), 3)
            )
            assert folds.config.version == 1
        assert log.appends == 1

    anyio.run(main)


def test_append_once_log_down():
    async def main():
        log = MemoryLog()
        log.faults.down = True
        async with run_writer(log) as (_folds, writer):
            result = await writer.append_once(
                CONFIG, make_data_centre_out(), 3
            )
            assert result.failure().state is WriteState.NOT_WRITTEN

    anyio.run(main)


@pytest.mark.parametrize("written", [True, False])
def test_append_once_down_after_unknown_outcome(written):
    async def main():
        log = FailingLog()
        log.written = written
        change = make_data_centre_out()
        async with run_writer(log) as (folds, writer):
            result = await writer.append_once(CONFIG, change, 0.5)
            assert result.failure().state is WriteState.UNKNOWN
            log.set_down(False)
            assert is_successful(await writer.append_once(CONFIG, change, 3))
            assert folds.config.version == 1

    anyio.run(main)


def test_append_once_not_read_back():
    async def main():
        log = MemoryLog()
        writer = Writer(log, Folds())
        result = await writer.append_once(CONFIG, make_data_centre_out(), 0.1)
        assert result.failure().state is WriteState.UNKNOWN

    anyio.run(main)


def test_append_once_concurrent_changes():
    async def main():
        log = MemoryLog()
        changes = [make_data_centre_out(f"dc{number}") for number in range(5)]
        async with run_writer(log) as (folds, writer):
            async with anyio.create_task_group() as tasks:
                for change in changes:
                    tasks.start_soon(writer.append_once, CONFIG, change, 3)
            decisions = [
                folds.config.decision_of(change.record_id)
                for change in changes
            ]
            assert sum(each.accepted for each in decisions) == 1

    anyio.run(main)


@pytest.mark.parametrize(
    ("fault", "appends"),
    [
        pytest.param({"lose_replies": 1}, 1, id="reply-lost"),
        pytest.param({"delay_s": 1.2}, None, id="slow"),
    ],
)
def test_append_once_over_http(server, fault, appends):
    async def main():
        before = server.stats()["appends"]
        async with (
            open_http_log(server.url, 0.8) as log,
            run_writer(log) as (folds, writer),
        ):
            page = await log.read(CONFIG, 0, wait=0, limit=1)
            assert await folds.wait_offset(CONFIG, page.end, 2)
            server.control(**fault)
            version = folds.config.version
            change = make_data_centre_out(against=version)
            result = await writer.append_once(CONFIG, change, 8)
            assert is_successful(result)
            assert folds.config.decision_of(change.record_id).accepted
            assert folds.config.version == version + 1
        if appends is not None:
            assert server.stats()["appends"] == before + appends

    anyio.run(main)
