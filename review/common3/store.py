"""A stand-in for the platform's metadata store, as in PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.common3.web import Message, encode_response, serve_connection

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_PAGE_ITEMS = 500


class Store:
    """
    Keyed topics with one partition each.

    It loses what it has acknowledged only in :meth:`restore`.
    """

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[bytes, bytes]]] = {}
        self._changed = asyncio.Event()
        self._era = 1

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen at an address."""
        return await asyncio.start_server(
            lambda reader, writer: serve_connection(
                reader, writer, self._answer
            ),
            host,
            port,
            limit=1 << 20,
        )

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator does."""
        self._append(topic, key.encode(), value)

    def copy(self) -> dict[str, list[tuple[bytes, bytes]]]:
        """Return a copy of all records."""
        return {topic: list(rows) for topic, rows in self._topics.items()}

    def restore(self, copy: dict[str, list[tuple[bytes, bytes]]]) -> None:
        """Return from a copy; what was written since is gone."""
        self._topics = {topic: list(rows) for topic, rows in copy.items()}
        self._era += 1

    def _append(self, topic: str, key: bytes, value: bytes) -> int:
        rows = self._topics.setdefault(topic, [])
        rows.append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return len(rows)

    async def _answer(self, req: Message) -> bytes:
        url = urlsplit(req.start[1])
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        rows = self._topics.setdefault(query.get("topic", ""), [])
        if url.path == "/api/log-append":
            return self._handle_append(query, req.body)
        if url.path == "/api/log-newest":
            return self._newest(rows, query.get("after", ""))
        if url.path == "/api/log-read":
            return await self._read(rows, query)
        return self._json(404, {})

    def _handle_append(self, query: dict[str, str], body: bytes) -> bytes:
        topic = query["topic"]
        end = len(self._topics[topic])
        if "at" in query and int(query["at"]) != end:
            return self._json(412, {"end-offset": end})
        at = 0
        while at < len(body):
            (size,) = _LENGTH.unpack_from(body, at)
            record = body[at + _LENGTH.size : at + _LENGTH.size + size]
            at += _LENGTH.size + size
            key_end = 1 + record[0]
            self._append(topic, record[1:key_end], record[key_end:])
        return self._json(
            200, {"offset": end, "end-offset": len(self._topics[topic])}
        )

    def _newest(self, rows: list[tuple[bytes, bytes]], after: str) -> bytes:
        newest = {row[0]: (at, row[1]) for at, row in enumerate(rows)}
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": at,
            }
            for key, (at, value) in sorted(newest.items())
            if value and key.decode() > after
        ]
        body = {
            "items": items[:_PAGE_ITEMS],
            "has-more": len(items) > _PAGE_ITEMS,
            "end-offset": len(rows),
        }
        return self._json(200, body)

    async def _read(
        self, rows: list[tuple[bytes, bytes]], query: dict[str, str]
    ) -> bytes:
        start = int(query["from"])
        wait_s = int(query.get("wait-ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while start >= len(rows):
                    await self._changed.wait()
        except TimeoutError:
            pass
        data = _OFFSETS.pack(len(rows), 0)
        for key, value in rows[start:]:
            record = bytes([len(key)]) + key + value
            data += _LENGTH.pack(len(record)) + record
        return encode_response(200, {"Store-Era": str(self._era)}, data)

    def _json(self, status: int, body: object) -> bytes:
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self._era),
        }
        return encode_response(status, headers, json.dumps(body).encode())
