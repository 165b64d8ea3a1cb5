"""The store client against a stand-in for the store."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

import pytest

from burdockgap.http1.response import Response
from burdockgap.http1.server import Server, open_server
from burdockgap.metadata.store_error import (
    OffsetOutOfRange,
    StoreError,
    WriteConflict,
)
from burdockgap.platform.store_client import StoreClient
from standins.sidecar.keyed_topics import KeyedTopics
from tests.http1.sockets import HOST, open_scripted_server, read_head
from tests.ports import free_port

pytestmark = pytest.mark.anyio

TOPIC = "keyed.t"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def store_and_client():
    """Start a store; yield it with a client."""
    topics, port = KeyedTopics(), free_port()
    async with open_server(Server(topics.answer), HOST, port):
        client = StoreClient((HOST, port))
        yield topics, client


async def test_put_and_newest(store_and_client):
    _, client = store_and_client
    assert await client.put(TOPIC, "a", b"\x00\x01") == 1
    assert await client.put(TOPIC, "b", b"2") == 2
    assert await client.put(TOPIC, "a", b"3") == 3
    await client.remove(TOPIC, "b")
    newest = await client.newest(TOPIC)
    assert (newest.values, newest.end) == ({"a": b"3"}, 4)


async def test_conditional_put(store_and_client):
    topics, client = store_and_client
    assert await client.put(TOPIC, "a", b"1", at=0) == 1
    with pytest.raises(WriteConflict):
        await client.put(TOPIC, "a", b"2", at=0)
    assert topics.value(TOPIC, "a") == b"1"


async def test_changes_wait_for_the_first_record(store_and_client):
    topics, client = store_and_client
    waiting = asyncio.create_task(client.changes(TOPIC, 0, 5.0))
    await asyncio.sleep(0.05)
    topics.put(TOPIC, "a", b"1")
    topics.put(TOPIC, "b", b"")
    changes = await waiting
    assert changes.records[0] == ("a", b"1")
    rest = await client.changes(TOPIC, 1, 0.0)
    assert (rest.records, rest.end) == ([("b", None)], 2)


async def test_changes_are_empty_after_the_wait(store_and_client):
    _, client = store_and_client
    changes = await client.changes(TOPIC, 0, 0.05)
    assert (changes.records, changes.end) == ([], 0)


async def test_changes_after_lost_history(store_and_client):
    topics, client = store_and_client
    topics.put(TOPIC, "a", b"1")
    topics.put(TOPIC, "a", b"2")
    topics.drop_history(TOPIC)
    with pytest.raises(OffsetOutOfRange):
        await client.changes(TOPIC, 0, 0.0)


async def test_unavailable_store_is_a_store_error(store_and_client):
    topics, client = store_and_client
    topics.down = True
    with pytest.raises(StoreError):
        await client.newest(TOPIC)


async def test_lost_reply_is_not_reported_as_a_conflict(store_and_client):
    topics, client = store_and_client
    topics.lose_replies = True
    with pytest.raises(StoreError) as caught:
        await client.put(TOPIC, "a", b"1", at=0)
    assert not isinstance(caught.value, WriteConflict)
    assert topics.value(TOPIC, "a") == b"1"


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"\xff", id="no-json"),
        pytest.param(b"[]", id="list"),
        pytest.param(b'{"items": 5}', id="items-number"),
        pytest.param(b'{"items": [{"key": 5}]}', id="key-number"),
        pytest.param(b"[" * 100_000, id="deeply-nested"),
        pytest.param(
            b'{"items": [], "end-offset": 1' + b"0" * 30 + b"}",
            id="offset-too-large",
        ),
        pytest.param(
            b'{"items": [{"key": "k", "value": "x"}], "end-offset": 1}',
            id="value-not-base64",
        ),
    ],
)
async def test_invalid_response_is_a_store_error(body):
    async def answer(_req):
        return Response(200, [], body)

    port = free_port()
    async with open_server(Server(answer), HOST, port):
        client = StoreClient((HOST, port))
        with pytest.raises(StoreError):
            await client.newest(TOPIC)
        with pytest.raises(StoreError):
            await client.changes(TOPIC, 0, 0.0)


async def test_topic_with_endless_pages_is_given_up():
    async def answer(_req):
        item = {"key": "k", "value": "eA==" * 200_000, "offset": 1}
        page = {"items": [item], "has-more": True, "end-offset": 1}
        return Response(200, body=json.dumps(page).encode())

    port = free_port()
    async with open_server(Server(answer), HOST, port):
        client = StoreClient((HOST, port))
        with pytest.raises(StoreError, match="exceeds the limit"):
            async with asyncio.timeout(10):
                await client.newest(TOPIC)


async def test_answer_without_end_is_a_store_error():
    async def script(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        with suppress(OSError):
            while True:
                writer.write(b" " * 65_536)
                await writer.drain()

    async with open_scripted_server(script) as address:
        client = StoreClient(address[:2])
        with pytest.raises(StoreError, match="body exceeds"):
            async with asyncio.timeout(10):
                await client.newest(TOPIC)


async def test_restored_store_is_noticed(store_and_client):
    topics, client = store_and_client
    restored = []
    client.generation.on_restored = lambda *numbers: restored.append(numbers)
    copy = topics.copy()
    await client.put(TOPIC, "a", b"1")
    assert (await client.newest(TOPIC)).generation == 1
    topics.restore(copy)
    with pytest.raises(OffsetOutOfRange):
        await client.changes(TOPIC, 1, 0.0)
    assert restored == [(1, 2)]
    assert (await client.changes(TOPIC, 0, 0.0)).generation == 2


async def test_restored_store_that_forgot_its_history_can_be_read(
    store_and_client,
):
    topics, client = store_and_client
    copy = topics.copy()
    await client.put(TOPIC, "a", b"1")
    topics.drop_history(TOPIC)
    topics.restore(copy)
    await client.put(TOPIC, "b", b"2")
    changes = await client.changes(TOPIC, 0, 0.0)
    assert changes.records == [("b", b"2")]


async def test_generation_that_is_no_number_is_an_error():
    async def answer(reader, writer):
        await read_head(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nStore-Era: x\r\nContent-Length: 2\r\n\r\n{}"
        )

    async with open_scripted_server(answer) as address:
        client = StoreClient(address[:2])
        with pytest.raises(StoreError, match="not a number"):
            await client.newest(TOPIC)


# A single malformed response would stop a daemon's announcements for
# good, and those of all members that heard its last one.
@pytest.mark.parametrize(
    "text", ["-1", "1" * 12, "1" * 5000, "1_0", "+1", "\u0661", "1.0", ""]
)
async def test_generation_out_of_range_is_not_taken_over(text):
    body = f"HTTP/1.1 200 OK\r\nStore-Era: {text}\r\nContent-Length: 2\r\n\r\n"

    async def answer(reader, writer):
        await read_head(reader)
        writer.write(body.encode() + b"{}")

    async with open_scripted_server(answer) as address:
        client = StoreClient(address[:2])
        with pytest.raises(StoreError):
            await client.newest(TOPIC)
        assert client.generation.number == 0


# CONFIG: a document that changed while later pages were read was never
# read again, as the list counted as read up to the last page's offset.
async def test_change_while_pages_are_read_is_not_skipped():
    topics, port = KeyedTopics(), free_port()
    topics.page_items = 1

    async def answer(req):
        response = await topics.answer(req)
        if req.path == "/api/log-newest" and len(topics.topics[TOPIC]) == 2:
            topics.put(TOPIC, "a", b"3")
        return response

    async with open_server(Server(answer), HOST, port):
        client = StoreClient((HOST, port))
        await client.put(TOPIC, "a", b"1")
        await client.put(TOPIC, "b", b"2")
        newest = await client.newest(TOPIC)
        changes = await client.changes(TOPIC, newest.end, 0.0)
    assert newest.values == {"a": b"1", "b": b"2"}
    assert changes.records == [("a", b"3")]
