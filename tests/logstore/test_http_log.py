from __future__ import annotations

import socket

import anyio
import pytest

from burdockgap.logstore import LogUnavailable, LogUncertain
from burdockgap.logstore.http_log import open_http_log

TIMEOUT_S = 0.8


def run(url, scenario):
    async def main():
        async with open_http_log(url, TIMEOUT_S) as log:
            return await scenario(log)

    return anyio.run(main)


async def read_all(log, stream):
    page = await log.read(stream, 0, wait=0, limit=100)
    return page.records


def test_append_and_read(server):
    async def scenario(log):
        assert await log.append("a", b"\x00one") == 0
        assert await log.append("a", b"two") == 1
        page = await log.read("a", 1, wait=0, limit=10)
        assert (page.first, page.earliest, page.end) == (1, 0, 2)
        assert page.records == [b"two"]
        server.control(trim={"stream": "a", "before": 1})
        page = await log.read("a", 0, wait=0, limit=10)
        assert (page.first, page.earliest, page.records) == (1, 1, [b"two"])

    run(server.url, scenario)


def test_read_waits_for_record(server):
    async def scenario(log):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append_soon, log)
            with anyio.fail_after(3):
                page = await log.read("b", 0, wait=10, limit=10)
        assert page.records == [b"late"]

    async def append_soon(log):
        await anyio.sleep(0.1)
        await log.append("b", b"late")

    run(server.url, scenario)


def test_append_refused_before_effect(server):
    async def scenario(log):
        server.control(down=True)
        with pytest.raises(LogUnavailable):
            await log.append("c", b"x")
        with pytest.raises(LogUnavailable):
            await log.read("c", 0, wait=0, limit=1)
        server.control(down=False)
        assert await read_all(log, "c") == []

    run(server.url, scenario)


def test_append_connection_refused():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]

    async def scenario(log):
        with pytest.raises(LogUnavailable):
            await log.append("c", b"x")

    run(f"http://127.0.0.1:{port}", scenario)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"lose_replies": 1}, id="reply-lost"),
        pytest.param({"delay_s": 1.2}, id="slow"),
    ],
)
def test_append_without_reply(server, fault):
    stream = "-".join(fault)

    async def scenario(log):
        server.control(**fault)
        with pytest.raises(LogUncertain):
            await log.append(stream, b"x")
        server.control(delay_s=0)
        with anyio.fail_after(3):
            page = await log.read(stream, 0, wait=2, limit=1)
        assert page.records == [b"x"]
        assert await log.append(stream, b"y") == 1

    run(server.url, scenario)


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"", id="closed"),
        pytest.param(b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n", id="500"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", id="cut-short"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]", id="no-offset"
        ),
    ],
)
def test_append_invalid_reply(reply):
    async def answer(stream):
        async with stream:
            await stream.receive()
            if reply:
                await stream.send(reply)

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            url = f"http://127.0.0.1:{port}"
            async with open_http_log(url, TIMEOUT_S) as log:
                with pytest.raises(LogUncertain):
                    await log.append("a", b"x")
                with pytest.raises(LogUnavailable):
                    await log.read("a", 0, wait=0, limit=1)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_read_from_suspended_server(server):
    async def scenario(log):
        await read_all(log, "d")
        server.suspend()
        with anyio.fail_after(6), pytest.raises(LogUnavailable):
            await log.read("d", 0, wait=0.1, limit=1)
        server.resume()
        assert await read_all(log, "d") == []

    run(server.url, scenario)


def test_append_after_all_connections_hang():
    hanging = set()
    opened = []

    async def answer(stream):
        number = len(opened)
        opened.append(number)
        async with stream:
            while await receive(stream):
                await anyio.sleep(0.05)
                if number in hanging:
                    await anyio.sleep_forever()
                await stream.send(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n"
                    b'{"offset":0}'
                )

    async def receive(stream):
        try:
            return await stream.receive()
        except anyio.EndOfStream:
            return b""

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            url = f"http://127.0.0.1:{port}"
            async with open_http_log(url, TIMEOUT_S) as log:
                async with anyio.create_task_group() as appends:
                    appends.start_soon(log.append, "a", b"x")
                    appends.start_soon(log.append, "a", b"x")
                hanging.update(opened)
                assert len(opened) == 2
                with pytest.raises(LogUncertain):
                    await log.append("a", b"x")
                assert await log.append("a", b"x") == 0
            tasks.cancel_scope.cancel()

    anyio.run(main)
