"""Requests sent ahead on one connection of a caller."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.http1.response import Response
from tests.http1.sockets import open_http_server, read_head

pytestmark = pytest.mark.anyio

READ = b"GET /r/%d HTTP/1.1\r\nHost: h\r\n\r\n"
WRITE = b"POST /w/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
LAST = b"GET /r/%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SlowHandler:
    """Takes a time by path; records starts, ends and cancellations."""

    def __init__(self, work_s=0.1, by_path=None, body=b""):
        self.work_s = work_s
        self.by_path = by_path or {}
        self.body = body
        self.log = []
        self.running = 0
        self.most = 0

    async def answer(self, req):
        self.log.append(("start", req.path))
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            await asyncio.sleep(self.by_path.get(req.path, self.work_s))
        except asyncio.CancelledError:
            self.log.append(("cancel", req.path))
            raise
        finally:
            self.running -= 1
        self.log.append(("end", req.path))
        return Response(200, [("x-path", req.path)], self.body)


def open_pipelining(handler):
    return open_http_server(
        handler.answer, may_overlap=lambda req: req.method == "GET"
    )


async def read_path(reader):
    """Return the path that a response names."""
    head = await read_head(reader)
    return head.partition(b"x-path: ")[2].partition(b"\r\n")[0].decode()


async def test_idempotent_requests_run_side_by_side_and_in_order():
    handler = SlowHandler(by_path={"/r/0": 0.3})
    async with open_pipelining(handler) as (server, reader, writer):
        began = server.now()
        writer.write(b"".join(READ % n for n in range(5)))
        paths = [await read_path(reader) for _ in range(5)]
        assert paths == [f"/r/{n}" for n in range(5)]
        assert handler.most == 5
        # One after the other they take 0.7 s.
        assert server.now() - began < 0.5
        assert not server.in_flight


async def test_other_request_starts_when_those_before_it_are_answered():
    handler = SlowHandler(by_path={"/r/0": 0.2, "/w/2": 0.2})
    async with open_pipelining(handler) as (_, reader, writer):
        writer.write(READ % 0 + READ % 1 + WRITE % 2 + READ % 3 + READ % 4)
        paths = [await read_path(reader) for _ in range(5)]
        assert paths == ["/r/0", "/r/1", "/w/2", "/r/3", "/r/4"]
    log = handler.log
    assert log.index(("start", "/w/2")) > log.index(("end", "/r/0"))
    assert log.index(("start", "/w/2")) > log.index(("end", "/r/1"))
    assert log.index(("start", "/r/3")) > log.index(("end", "/w/2"))


@pytest.mark.parametrize("count", [17, 60])
async def test_many_requests_run_within_the_bound(count):
    handler = SlowHandler(work_s=0.02)
    async with open_pipelining(handler) as (_, reader, writer):
        writer.write(b"".join(READ % n for n in range(count)))
        paths = [await read_path(reader) for _ in range(count)]
        assert paths == [f"/r/{n}" for n in range(count)]
        assert 4 <= handler.most <= 8


async def test_large_responses_that_wait_hold_back_further_requests():
    handler = SlowHandler(
        work_s=0.01, by_path={"/r/0": 0.3}, body=b"x" * 700_000
    )
    async with open_pipelining(handler) as (_, reader, writer):
        writer.write(b"".join(READ % n for n in range(12)))
        await asyncio.sleep(0.2)
        # The bound is checked before a start; eight may run by then.
        assert len(handler.log) <= 2 * 8
        for number in range(12):
            assert await read_path(reader) == f"/r/{number}"
            await reader.readexactly(700_000)


async def test_request_behind_a_closing_one_is_not_run():
    handler = SlowHandler()
    async with open_pipelining(handler) as (_, reader, writer):
        writer.write(READ % 0 + LAST % 1 + READ % 2 + WRITE % 3)
        assert await read_path(reader) == "/r/0"
        assert b"connection: close" in await read_head(reader)
        assert await reader.read() == b""
    assert {path for _, path in handler.log} == {"/r/0", "/r/1"}


async def test_leaving_server_answers_what_has_started_and_no_more():
    """A planned stop, with requests sent ahead at that moment."""
    handler = SlowHandler()
    async with open_pipelining(handler) as (server, reader, writer):
        writer.write(READ % 0 + READ % 1 + WRITE % 2 + READ % 3)
        await asyncio.sleep(0.02)
        server.leaving = True
        heads = [await read_head(reader) for _ in range(2)]
        assert b"connection: close" not in heads[0]
        assert b"connection: close" in heads[1]
        assert await reader.read() == b""
    assert {path for _, path in handler.log} == {"/r/0", "/r/1"}


async def test_disconnect_cancels_all_requests():
    handler = SlowHandler(work_s=5.0)
    async with open_pipelining(handler) as (server, _reader, writer):
        writer.write(READ % 0 + READ % 1 + READ % 2)
        await asyncio.sleep(0.05)
        assert handler.running == 3
        writer.transport.abort()
        await asyncio.sleep(0.05)
        assert handler.running == 0
        assert not server.connections
    cancelled = {path for what, path in handler.log if what == "cancel"}
    assert cancelled == {"/r/0", "/r/1", "/r/2"}


async def test_second_request_with_a_slow_head_does_not_delay_the_first():
    handler = SlowHandler()
    async with open_pipelining(handler) as (server, reader, writer):
        began = server.now()
        writer.write(READ % 0 + b"GET /r/1 HTTP/1.1\r\nHo")
        assert await read_path(reader) == "/r/0"
        assert server.now() - began < 0.2
        writer.write(b"st: h\r\n\r\n")
        assert await read_path(reader) == "/r/1"


async def test_request_cut_in_the_middle_is_not_run():
    handler = SlowHandler(work_s=0.05)
    async with open_pipelining(handler) as (server, reader, writer):
        writer.write(READ % 0 + (WRITE % 1)[:-1])
        assert await read_path(reader) == "/r/0"
        writer.close()
        await asyncio.sleep(0.05)
        assert server.buffered_bytes == 0
    assert {path for _, path in handler.log} == {"/r/0"}


async def test_malformed_request_is_refused_behind_the_answers():
    handler = SlowHandler()
    async with open_pipelining(handler) as (_, reader, writer):
        writer.write(READ % 0 + READ % 1 + b"NONSENSE\r\n\r\n")
        assert await read_path(reader) == "/r/0"
        assert await read_path(reader) == "/r/1"
        assert b"400" in await read_head(reader)
        assert await reader.read() == b""


async def test_caller_that_reads_nothing_holds_a_bounded_number_of_answers():
    handler = SlowHandler(work_s=0.0, body=b"x" * 100_000)
    async with open_pipelining(handler) as (server, _reader, writer):
        for number in range(2000):
            writer.write(READ % number)
        await asyncio.sleep(0.3)
        (conn,) = server.connections
        assert conn._transport.get_write_buffer_size() < 400_000
        ran = sum(what == "start" for what, _ in handler.log)
        assert ran < 150
