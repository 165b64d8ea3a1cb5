"""A stand-in for the store of the users' platform."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from burdockgap.http1.response import Response

if TYPE_CHECKING:
    from burdockgap.http1.request import Request

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_PAGE_ITEMS = 500


class KeyedTopics:
    """
    Keyed topics with conditional appends and fault injection.

    :ivar topics: records of each topic as (key, value), by offset.
    :ivar first: offset below which each topic can no longer be read.
    :ivar down: whether to answer all calls with status 503.
    :ivar generation: increases when the store returns from a copy.
    :ivar lose_replies: whether to apply appends without a response.
    :ivar page_items: documents in one page of a list.
    :ivar calls: number of calls by path.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.down = False
        self.generation = 1
        self.lose_replies = False
        self.page_items = _PAGE_ITEMS
        self.calls: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def answer(self, req: Request) -> Response:
        """Handle one API call."""
        response = await self._answer(req)
        response.headers.append(("Store-Era", str(self.generation)))
        return response

    async def _answer(self, req: Request) -> Response:
        url = urlsplit(req.target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        if self.down:
            return Response(503)
        topic = query["topic"]
        if url.path == "/api/log-newest":
            return self._newest(topic, query.get("after", ""))
        if url.path == "/api/log-read":
            return await self._read(topic, query)
        if url.path == "/api/log-append":
            return await self._append(topic, query, req.body)
        return Response(404)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record directly, past faults and conditions."""
        self._rows(topic).append((key, value))
        self._notify_readers()

    def value(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key, ``None`` if it has none."""
        return dict(self._rows(topic)).get(key)

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all topics."""
        return {topic: list(rows) for topic, rows in self.topics.items()}

    def restore(self, topics: dict[str, list[tuple[str, bytes]]]) -> None:
        """Return to a copy; later records are lost, offsets reused."""
        self.topics = {topic: list(rows) for topic, rows in topics.items()}
        for topic, first in self.first.items():
            self.first[topic] = min(first, len(self._rows(topic)))
        self.generation += 1
        self._notify_readers()

    def stop(self) -> None:
        """Answer pending and later calls with status 503."""
        self.down = True
        self._notify_readers()

    def drop_history(self, topic: str) -> None:
        """
        Make all records so far unreadable by offset.

        The newest value of each key can still be listed.
        """
        self.first[topic] = len(self._rows(topic))
        self._notify_readers()

    def _rows(self, topic: str) -> list[tuple[str, bytes]]:
        return self.topics.setdefault(topic, [])

    def _notify_readers(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _newest(self, topic: str, after: str) -> Response:
        rows = self._rows(topic)
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(rows)
        }
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        body = {
            "items": items[: self.page_items],
            "has-more": len(items) > self.page_items,
            "end-offset": len(rows),
        }
        return _json(200, body)

    async def _read(self, topic: str, query: dict[str, str]) -> Response:
        start = int(query["from"])
        generation = self.generation
        if start > len(self._rows(topic)):
            return _json(410, {"first-offset": self.first.get(topic, 0)})
        if start == len(self._rows(topic)):
            wait_s = int(query.get("wait-ms", "0")) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    while start >= len(self._rows(topic)):
                        await self._changed.wait()
                        if self.down or self.generation != generation:
                            return Response(503)
            except TimeoutError:
                pass
        rows = self._rows(topic)
        first = self.first.get(topic, 0)
        if start < first:
            return _json(410, {"first-offset": first})
        data = _OFFSETS.pack(len(rows), first)
        for key, value in rows[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += _LENGTH.pack(len(record)) + record
        return Response(200, [], data)

    async def _append(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> Response:
        rows = self._rows(topic)
        if "at" in query and int(query["at"]) != len(rows):
            return _json(412, {"end-offset": len(rows)})
        (size,) = _LENGTH.unpack_from(body)
        record = body[_LENGTH.size : _LENGTH.size + size]
        key_end = 1 + record[0]
        rows.append((record[1:key_end].decode(), record[key_end:]))
        self._notify_readers()
        if self.lose_replies:
            await asyncio.Event().wait()
        answer = {"offset": len(rows) - 1, "end-offset": len(rows)}
        return _json(200, answer)


def _json(status: int, body: object) -> Response:
    return Response(status, [], json.dumps(body).encode())
