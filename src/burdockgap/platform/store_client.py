"""The platform's metadata store."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.metadata.keyed_store import Changes, TopicSnapshot
from burdockgap.metadata.store_error import (
    OffsetOutOfRange,
    StoreError,
    WriteConflict,
)
from burdockgap.platform.fields import T, field

if TYPE_CHECKING:
    from burdockgap.http1.response import Response

_CONNECT_TIMEOUT_S = 0.5
_SILENCE_S = 1.0
"""The store answers within 4 ms, a slow one within a few hundred; all
documents together may take seconds on a slow link."""
_IDLE_S = 15.0
_OK = 200
_GONE = 410
_CONFLICTS = (409, 412)
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class StoreClient:
    """
    Calls of the store; a key lives in partition 0 of its topic.

    :param address: host and port of the store.
    """

    __slots__ = ("_host", "_pool", "calls")

    def __init__(self, address: tuple[str, int]) -> None:
        self._host = f"{address[0]}:{address[1]}"
        self._pool = ClientPool(
            address, connect_timeout_s=_CONNECT_TIMEOUT_S, idle_s=_IDLE_S
        )
        self.calls = 0

    async def newest(self, topic: str) -> TopicSnapshot:
        """Read the newest value of each key."""
        values: dict[str, bytes] = {}
        query = {"topic": topic, "part": "0"}
        while True:
            body = _decode_json(await self._get("/api/log-newest", query))
            items = _field(body, "items", list)
            for item in items:
                values[_field(item, "key", str)] = base64.b64decode(
                    _field(item, "value", str)
                )
            if not body.get("has-more") or not items:
                return TopicSnapshot(values, _field(body, "end-offset", int))
            query["after"] = items[-1]["key"]

    async def changes(self, topic: str, start: int, wait_s: float) -> Changes:
        """Read the records from an offset on, once there are any."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "wait-ms": str(int(wait_s * 1000)),
        }
        response = await self._get("/api/log-read", query, wait_s=wait_s)
        return _decode_records(response.body, start)

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """Write the value of a key."""
        query = {"topic": topic, "part": "0"}
        if at is not None:
            # The write takes effect only if the partition ends here.
            query["at"] = str(at)
        name = key.encode()
        record = bytes([len(name)]) + name + value
        data = encode_request(
            "POST",
            f"/api/log-append?{urlencode(query)}",
            [("host", self._host)],
            _LENGTH.pack(len(record)) + record,
        )
        response = await self._exchange(data, _SILENCE_S)
        if response.status in _CONFLICTS:
            raise WriteConflict(_describe(response))
        return _field(_decode_json(_checked(response)), "end-offset", int)

    async def remove(self, topic: str, key: str) -> None:
        """Remove a key."""
        await self.put(topic, key, b"")

    async def _get(
        self, path: str, query: dict[str, str], *, wait_s: float = 0.0
    ) -> Response:
        data = encode_request(
            "GET", f"{path}?{urlencode(query)}", [("host", self._host)]
        )
        return _checked(await self._exchange(data, _SILENCE_S + wait_s))

    async def _exchange(self, data: bytes, silence_s: float) -> Response:
        self.calls += 1
        try:
            return await self._pool.exchange(data, silence_s=silence_s)
        except ExchangeError as exc:
            raise StoreError(str(exc)) from exc


def _field(source: Any, name: str, kind: type[T]) -> T:
    try:
        return field(source, name, kind)
    except ValueError as exc:
        raise StoreError(f"the answer cannot be used: {exc}") from exc


def _checked(response: Response) -> Response:
    if response.status == _GONE:
        raise OffsetOutOfRange(_describe(response))
    if response.status != _OK:
        raise StoreError(_describe(response))
    return response


def _describe(response: Response) -> str:
    text = response.body[:200].decode("utf-8", "replace")
    return f"the store answered {response.status}: {text}"


def _decode_json(response: Response) -> dict[str, Any]:
    try:
        body = json.loads(response.body)
    except ValueError as exc:
        raise StoreError(f"the answer is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise StoreError("the answer is not an object")
    return body


def _decode_records(data: bytes, start: int) -> Changes:
    if len(data) < _OFFSETS.size:
        raise StoreError("the answer is too short for its offsets")
    records: list[tuple[str, bytes | None]] = []
    at = _OFFSETS.size
    while at + _LENGTH.size <= len(data):
        (size,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        record = data[at : at + size]
        at += size
        if len(record) < size or not record:
            raise StoreError("a record is cut short")
        key_end = 1 + record[0]
        key = record[1:key_end].decode("utf-8", "replace")
        records.append((key, record[key_end:] or None))
    return Changes(records, start + len(records))
