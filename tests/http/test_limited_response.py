"""Responses without end to the calls of ``burdockgap daemon``."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.clock import BootClock
from burdockgap.logstore import LogUnavailable, LogUncertain
from burdockgap.logstore import http_log as http_log_module
from burdockgap.logstore.http_log import open_http_log
from burdockgap.target import http_target as http_target_module
from burdockgap.target.http_target import HttpTarget
from tests.builders import make_target_info
from tests.http1.sockets import open_scripted_server, read_head

pytestmark = pytest.mark.anyio

LIMIT_BYTES = 500_000
MAX_SENT_BYTES = 32 * 1024 * 1024


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EndlessServer:
    """Answers with a body that ends only when the caller closes."""

    def __init__(self):
        self.sent_bytes = 0

    async def run(self, reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(b"a" * 65_536)
                await writer.drain()
                self.sent_bytes += 65_536
        except OSError:
            return


# LOST: a page of the log without end was kept in memory.
async def test_endless_reply_of_the_log_is_given_up(monkeypatch):
    monkeypatch.setattr(http_log_module, "_MAX_PAGE_BYTES", LIMIT_BYTES)
    server = EndlessServer()
    async with (
        open_scripted_server(server.run) as (host, port, *_),
        open_http_log(f"http://{host}:{port}", 5.0) as log,
    ):
        with pytest.raises(LogUnavailable, match="exceeds"):
            await log.read("a", 0, wait=5, limit=1)
        assert server.sent_bytes < MAX_SENT_BYTES / 2
        with pytest.raises(LogUncertain, match="exceeds"):
            await log.append("a", b"record")
    assert server.sent_bytes < MAX_SENT_BYTES


# LOST: the same with a target's control response.
async def test_endless_control_response_is_given_up(monkeypatch):
    monkeypatch.setattr(
        http_target_module, "_MAX_CONTROL_BODY_BYTES", LIMIT_BYTES
    )
    monkeypatch.setattr(http_target_module, "_CONTROL_TIMEOUT_S", 5.0)
    server = EndlessServer()
    async with open_scripted_server(server.run) as (host, port, *_):
        info = make_target_info(url=f"http://{host}:{port}")
        target = HttpTarget(info, BootClock())
        with pytest.raises(ConnectionError, match="exceeds"):
            async with asyncio.timeout(5):
                await target.drain()
        await target.aclose()
    assert server.sent_bytes < MAX_SENT_BYTES / 2
