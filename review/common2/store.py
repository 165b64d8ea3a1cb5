"""A stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.common2.web import Message, Reply, WebServer

PORT = 8309
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_ANSWER_S = 0.004


class Store:
    """
    Keyed topics with one partition each.

    :ivar is_down: whether all calls are answered with 503, which says
        that nothing was done.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._web = WebServer(self._answer)
        self.is_down = False

    async def open(self, host: str) -> None:
        """Listen at a host."""
        await self._web.open(host, PORT)

    def close(self) -> None:
        """Stop listening."""
        self._web.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator does."""
        self._rows(topic).append((key, value))
        self._notify()

    def set_down(self, *, is_down: bool) -> None:
        """Begin or end an outage."""
        self.is_down = is_down
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _rows(self, topic: str) -> list[tuple[str, bytes]]:
        return self._topics.setdefault(topic, [])

    async def _answer(self, req: Message) -> Reply:
        await asyncio.sleep(_ANSWER_S)
        reply = await self._act(req)
        reply.headers["Store-Era"] = "1"
        return reply

    async def _act(self, req: Message) -> Reply:
        url = urlsplit(req.target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        if self.is_down:
            return Reply(503)
        topic = query["topic"]
        if url.path == "/api/log-newest":
            return self._newest(topic)
        if url.path == "/api/log-read":
            return await self._read(topic, query)
        if url.path == "/api/log-append":
            return self._append(topic, query, req.body)
        return Reply(404)

    def _newest(self, topic: str) -> Reply:
        rows = self._rows(topic)
        newest = {key: (at, value) for at, (key, value) in enumerate(rows)}
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": at,
            }
            for key, (at, value) in sorted(newest.items())
            if value
        ]
        return _json(
            200, {"items": items, "has-more": False, "end-offset": len(rows)}
        )

    async def _read(self, topic: str, query: dict[str, str]) -> Reply:
        start, rows = int(query["from"]), self._rows(topic)
        if start > len(rows):
            return _json(410, {"first-offset": 0})
        try:
            async with asyncio.timeout(int(query.get("wait-ms", "0")) / 1000):
                while start >= len(rows) and not self.is_down:
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self.is_down:
            return Reply(503)
        data = _OFFSETS.pack(len(rows), 0)
        for key, value in rows[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += _LENGTH.pack(len(record)) + record
        return Reply(200, body=data)

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> Reply:
        rows = self._rows(topic)
        if "at" in query and int(query["at"]) != len(rows):
            return _json(412, {"end-offset": len(rows)})
        (size,) = _LENGTH.unpack_from(body)
        record = body[_LENGTH.size : _LENGTH.size + size]
        end = 1 + record[0]
        rows.append((record[1:end].decode(), record[end:]))
        self._notify()
        return _json(200, {"offset": len(rows) - 1, "end-offset": len(rows)})


def _json(status: int, body: object) -> Reply:
    headers = {"Content-Type": "application/json"}
    return Reply(status, headers, json.dumps(body).encode())
