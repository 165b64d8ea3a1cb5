"""Daemons stay within their memory and descriptors under crowds."""

from __future__ import annotations

import asyncio

import pytest

from tests.resources.builders import open_daemons
from tests.resources.crowds import (
    open_crowd,
    open_idle_connections,
    send_bodies,
    send_pipelined,
    send_slow_readers,
    send_unfinished_bodies,
    send_unfinished_heads,
)

_MIB = 1024 * 1024
_HOLD_S = 1.0
"""How long a crowd stays after it has sent what it sends."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def _check(daemons):
    """Check the processes, then ask for an ordinary response."""
    await asyncio.sleep(_HOLD_S)
    running = [daemon.is_running for daemon in daemons]
    assert running == [True, True]
    figures = [
        (round(daemon.peak_mb, 1), daemon.open_descriptors)
        for daemon in daemons
    ]
    print("peak MB and descriptors:", figures)
    for daemon, (peak_mb, descriptors) in zip(daemons, figures, strict=True):
        assert peak_mb < daemon.memory_mb
        assert descriptors < daemon.descriptors
    for daemon in daemons:
        daemon.app.padding = b""
    assert await daemons[0].ask("/crew/1") == 200


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/long/1", "/manual/1"])
async def test_slow_readers(tmp_path, path):
    """Responses that nobody reads must not use up a daemon's memory."""
    async with open_daemons(tmp_path, memory_mb=96) as daemons:
        for daemon in daemons:
            daemon.app.padding = b"x" * (4 * _MIB)
        async with open_crowd(daemons[0]) as crowd:
            await send_slow_readers(crowd, path, count=40)
            await _check(daemons)


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/long/1", "/manual/1"])
async def test_pipelined_requests(tmp_path, path):
    """Responses that wait for their turn are bounded like others."""
    async with open_daemons(tmp_path, memory_mb=96) as daemons:
        for daemon in daemons:
            daemon.app.padding = b"x" * (_MIB // 2)
        async with open_crowd(daemons[0]) as crowd:
            await send_pipelined(crowd, path, count=40, depth=8)
            await _check(daemons)


@pytest.mark.anyio
async def test_large_bodies_without_end(tmp_path):
    """Bodies whose end does not come must not use up the memory."""
    async with (
        open_daemons(tmp_path, memory_mb=96) as daemons,
        open_crowd(daemons[0]) as crowd,
    ):
        await send_unfinished_bodies(
            crowd, count=60, size=6 * _MIB, chunk_size=64 * 1024
        )
        await _check(daemons)


@pytest.mark.anyio
async def test_bodies_of_running_requests(tmp_path):
    """Complete bodies count until their requests have been answered."""
    async with open_daemons(tmp_path, memory_mb=96) as daemons:
        daemons[1].app.work_s = 2.0
        async with open_crowd(daemons[0]) as crowd:
            await send_bodies(crowd, "/manual/1", count=20, size=6 * _MIB)
            await _check(daemons)


@pytest.mark.anyio
async def test_one_byte_chunks_without_end(tmp_path):
    """Small chunks cost more than their bytes; many must not add up."""
    async with (
        open_daemons(tmp_path, memory_mb=64) as daemons,
        open_crowd(daemons[0]) as crowd,
    ):
        await send_unfinished_bodies(
            crowd, count=40, size=100_000, chunk_size=1
        )
        await _check(daemons)


@pytest.mark.anyio
async def test_unfinished_heads(tmp_path):
    """Heads that do not end count as bytes held, as bodies do."""
    async with (
        open_daemons(tmp_path, memory_mb=64) as daemons,
        open_crowd(daemons[0]) as crowd,
    ):
        await send_unfinished_heads(crowd, count=1500, size=15 * 1024)
        await _check(daemons)


@pytest.mark.anyio
async def test_many_connections(tmp_path):
    """Connections above the descriptor limit are closed."""
    async with (
        open_daemons(tmp_path, memory_mb=200, descriptors=500) as daemons,
        open_crowd(daemons[0]) as crowd,
    ):
        await open_idle_connections(crowd, count=800)
        await _check(daemons)
