"""Connections over which a target that may restart is granted keys."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.exchange_error import ExchangeError
from tests.http1.sockets import HOST
from tests.ports import free_port
from tests.shards.watched_target import open_target

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def target():
    async with open_target() as target:
        target.announce()
        yield target


async def test_announcement_after_connecting_allows_grants(target):
    async with target.open_process() as process:
        await target.wait_connected()
        assert not target.may_grant()
        target.announce()
        assert target.may_grant()
        assert await target.grant() == 200
        assert process.fences == [3]


async def test_restart_under_the_same_id_needs_another_token(target):
    async with target.open_process():
        await target.wait_connected()
        target.announce()
        await target.grant()
    assert not target.may_grant()
    async with target.open_process():
        await target.wait_connected()
        assert not target.may_grant()
        assert target.client.is_token_used_up(3)
        target.born += 1
        target.announce()
        assert not target.may_grant(fence=3)
        assert target.may_grant(fence=4)


# OWNER, soak seed 1173: a late announcement of the earlier process was
# taken for one of the process that listens now.
async def test_late_announcements_of_the_earlier_process_are_no_proof(target):
    async with target.open_process():
        await target.wait_connected()
        target.announce()
        await target.grant()
    async with target.open_process() as successor:
        await target.wait_connected()
        for _ in range(3):
            await asyncio.sleep(0.5)
            target.announce()
            assert not target.may_grant()
            with pytest.raises(ExchangeError):
                await target.grant()
        assert successor.fences == []


# OWNER, review/11: a silent connection to the process before was taken
# as proof that a new one leads there as well, and the next process got
# keys under the token of the one before.
@pytest.mark.parametrize("announcements", [0, 1, 3])
async def test_silent_connections_show_nothing_of_new_ones(
    target, announcements
):
    async with target.open_process() as process:
        await target.wait_connected()
        target.announce()
        await target.grant()
        process.go_dark()
        async with target.open_process() as successor:
            for _ in range(announcements):
                await asyncio.sleep(0.5)
                target.announce()
            for _ in range(8):
                if target.may_grant():
                    with pytest.raises((ExchangeError, TimeoutError)):
                        await target.grant()
                await asyncio.sleep(0.1)
            assert target.client.is_token_used_up(3)
            assert successor.fences == []


async def test_process_that_answers_again_keeps_its_token(target):
    async with target.open_process() as process:
        await target.wait_connected()
        target.announce()
        await target.grant()
        await target.grant()
        process.is_silent = True
        with pytest.raises(TimeoutError):
            await target.grant()
        process.is_silent = False
        assert await target.grant() == 200
        assert not target.client.is_token_used_up(3)


# A target that closes idle connections early has not restarted.
async def test_target_that_closes_idle_connections_keeps_its_token(target):
    async with target.open_process(idle_s=1.2) as process:
        await target.wait_connected()
        target.announce()
        for _ in range(12):
            assert await target.grant() == 200
            await asyncio.sleep(0.3)
        assert set(process.fences) == {3}


async def test_idle_connections_are_replaced_before_the_target_closes_them(
    target,
):
    async with target.open_process(idle_s=1.2) as process:
        await target.wait_connected()
        await asyncio.sleep(1.5)
        accepted = process.accepted
        await target.wait_connected()
        target.announce()
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert target.may_grant()
        assert process.accepted > accepted


async def test_target_at_another_address_is_not_granted_keys(target):
    async with target.open_process():
        await target.wait_connected()
        target.announce()
        target.port = free_port()
        target.announce()
        assert not target.may_grant()


# A target that sent without being asked, without end, kept its daemon
# reading for as long as it wanted.
async def test_connection_with_unasked_bytes_is_closed(target):
    sent, closed = [], asyncio.Event()

    async def send_endlessly(_reader, writer):
        try:
            while len(sent) < 1000:
                writer.write(b"a" * 65_536)
                await writer.drain()
                sent.append(1)
        except OSError:
            closed.set()

    server = await asyncio.start_server(send_endlessly, HOST, target.port)
    async with asyncio.timeout(2):
        await closed.wait()
    assert not target.may_grant()
    server.close()


async def test_opened_and_lost_connections_are_logged(target):
    async with target.open_process():
        await target.wait_connected()
    async with asyncio.timeout(2):
        while len(target.events) < 4:
            await asyncio.sleep(0.01)
    changes = [
        fields["change"]
        for event, fields in target.events
        if event == "target_connection"
    ]
    assert changes == ["opened", "opened", "lost", "lost"]
