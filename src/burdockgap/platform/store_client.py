"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from burdockgap.http1.client_pool import ClientPool
from burdockgap.http1.encode import encode_request
from burdockgap.http1.exchange_error import ExchangeError
from burdockgap.http1.response_limits import ResponseLimits
from burdockgap.metadata.keyed_store import Changes, TopicSnapshot
from burdockgap.metadata.store_error import (
    OffsetOutOfRange,
    StoreError,
    WriteConflict,
)
from burdockgap.metadata.store_generation import StoreGeneration
from burdockgap.platform.fields import (
    T,
    decode_json,
    require_field,
    require_integer,
)
from burdockgap.platform.names import STORE_GENERATION

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.response import Response
    from burdockgap.resources.byte_counter import ByteCounter

_CONNECT_TIMEOUT_S = 0.5
_READ_TIMEOUT_S = 1.0
"""The store answers within 4 ms, or a few hundred when it is slow. This
limits the time without received bytes, not the whole response: all
documents together may take seconds on a slow link."""
_IDLE_S = 15.0
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MAX_TOPIC_BYTES = 32 * 1024 * 1024
"""Limit on all values of a topic, which arrive in pages."""
_OK_STATUS = 200
_HISTORY_LOST_STATUS = 410
_CONFLICT_STATUSES = (409, 412)
_LENGTH_STRUCT = struct.Struct(">I")
_OFFSETS_STRUCT = struct.Struct(">QQ")
_MAX_DIGITS = 9
"""Terms of a generation begin at 2**32 times its number and have to fit
into 64 bits."""


class StoreClient:
    """
    Client of the store. All keys of a topic are in partition 0.

    :param address: host and port of the store.
    :param counter: counts the bytes of all calls, ``None`` not to count
        them.
    :param on_opened: called with the seconds that a connection took to
        open, and whether it did.
    :ivar calls: calls made so far.
    :ivar generation: the store's generation from its responses.
    """

    __slots__ = ("_host", "_pool", "calls", "generation")

    def __init__(
        self,
        address: tuple[str, int],
        *,
        counter: ByteCounter | None = None,
        on_opened: Callable[[float, bool], None] = lambda *_: None,
    ) -> None:
        self._host = f"{address[0]}:{address[1]}"
        self._pool = ClientPool(
            address,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            idle_s=_IDLE_S,
            limits=ResponseLimits(body_bytes=_MAX_RESPONSE_BYTES),
            counter=counter,
            on_opened=on_opened,
        )
        self.calls = 0
        self.generation = StoreGeneration()

    async def newest(self, topic: str) -> TopicSnapshot:
        """
        Read the newest value of each key, page by page.

        The pages are not a snapshot. The end is that of the first one,
        so that no change between two of them is skipped by who reads on
        from there.
        """
        values: dict[str, bytes] = {}
        received_bytes = 0
        generation: int | None = None
        end: int | None = None
        query = {"topic": topic, "part": "0"}
        while True:
            response = await self._get("/api/log-newest", query)
            if generation not in (None, _decode_generation(response)):
                raise StoreError(
                    f"store was restored while {topic!r} was read"
                )
            generation = _decode_generation(response)
            received_bytes += len(response.body)
            if received_bytes > _MAX_TOPIC_BYTES:
                raise StoreError(
                    f"topic {topic!r} exceeds the limit of "
                    f"{_MAX_TOPIC_BYTES} bytes"
                )
            body = _decode_json(response)
            page_end = _require_offset(body, "end-offset")
            end = page_end if end is None else end
            items = _require_field(body, "items", list)
            for item in items:
                key = _require_field(item, "key", str)
                values[key] = _decode_value(item)
            if not body.get("has-more") or not items:
                return TopicSnapshot(values, end, generation)
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
        records = _decode_records(response.body)
        return Changes(
            records, start + len(records), _decode_generation(response)
        )

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """Append a value of a key; return the offset after it."""
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
            _LENGTH_STRUCT.pack(len(record)) + record,
        )
        response = await self._exchange(data, _READ_TIMEOUT_S)
        if response.status in _CONFLICT_STATUSES:
            raise WriteConflict(_describe_response(response))
        return _require_offset(
            _decode_json(_require_ok(response)), "end-offset"
        )

    async def remove(self, topic: str, key: str) -> None:
        """Remove a key by appending an empty value."""
        await self.put(topic, key, b"")

    def close_idle(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _get(
        self, path: str, query: dict[str, str], *, wait_s: float = 0.0
    ) -> Response:
        data = encode_request(
            "GET", f"{path}?{urlencode(query)}", [("host", self._host)]
        )
        return _require_ok(
            await self._exchange(data, _READ_TIMEOUT_S + wait_s)
        )

    async def _exchange(self, data: bytes, read_timeout_s: float) -> Response:
        self.calls += 1
        try:
            response = await self._pool.exchange(
                data, read_timeout_s=read_timeout_s
            )
        except ExchangeError as exc:
            raise StoreError(str(exc)) from exc
        self.generation.note(_decode_generation(response))
        return response


def _decode_generation(response: Response) -> int:
    """Return the store's generation, 0 if the response has none."""
    text = response.header(STORE_GENERATION)
    if text is None:
        return 0
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    raise StoreError(f"generation {text[:40]!r} of the store is not a number")


def _require_field(source: Any, name: str, kind: type[T]) -> T:
    try:
        return require_field(source, name, kind)
    except ValueError as exc:
        raise StoreError(f"store response is invalid: {exc}") from exc


def _require_offset(source: Any, name: str) -> int:
    try:
        return require_integer(source, name)
    except ValueError as exc:
        raise StoreError(f"store response is invalid: {exc}") from exc


def _require_ok(response: Response) -> Response:
    if response.status == _HISTORY_LOST_STATUS:
        raise OffsetOutOfRange(_describe_response(response))
    if response.status != _OK_STATUS:
        raise StoreError(_describe_response(response))
    return response


def _describe_response(response: Response) -> str:
    text = response.body[:200].decode("utf-8", "replace")
    return f"store answered {response.status}: {text}"


def _decode_json(response: Response) -> dict[str, Any]:
    try:
        body = decode_json(response.body)
    except ValueError as exc:
        raise StoreError(f"store response is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise StoreError("store response is not a JSON object")
    return body


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(_require_field(item, "value", str))
    except ValueError as exc:
        raise StoreError(f"value in the store response: {exc}") from exc


def _decode_records(data: bytes) -> list[tuple[str, bytes | None]]:
    if len(data) < _OFFSETS_STRUCT.size:
        raise StoreError("store response is too short for its offsets")
    records: list[tuple[str, bytes | None]] = []
    at = _OFFSETS_STRUCT.size
    while at + _LENGTH_STRUCT.size <= len(data):
        (size,) = _LENGTH_STRUCT.unpack_from(data, at)
        at += _LENGTH_STRUCT.size
        record = data[at : at + size]
        at += size
        if len(record) < size or not record:
            raise StoreError(
                "record in the store response is empty or truncated"
            )
        key_end = 1 + record[0]
        key = record[1:key_end].decode("utf-8", "replace")
        records.append((key, record[key_end:] or None))
    return records
