"""HTTP client of the platform's log."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import httpx
import msgpack

from burdockgap.http.limited_response import read_limited
from burdockgap.logstore.errors import LogUnavailable, LogUncertain
from burdockgap.logstore.metrics import APPENDS, READ_FAILURES
from burdockgap.logstore.page import Page
from burdockgap.logstore.replaceable_client import ReplaceableClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_READ_MARGIN_S = 2.0
_DEFAULT_TIMEOUT_S = 2.0
_MAX_PAGE_BYTES = 64 * 1024 * 1024
_MAX_APPEND_REPLY_BYTES = 64 * 1024
_CONNECT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class HttpLog:
    """
    Accesses the log over its HTTP interface.

    Each stream has an HTTP client for its reads, and all appends share
    another one. A call that fails, times out or is cancelled discards
    its client, so that the next call opens a new connection.

    :param url: base URL of the log.
    :param timeout_s: timeout of an append and of opening a connection.
    """

    __slots__ = ("_append_client", "_read_clients", "_timeout_s", "_url")

    def __init__(
        self, url: str, timeout_s: float = _DEFAULT_TIMEOUT_S
    ) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._append_client = ReplaceableClient(url, httpx.Timeout(timeout_s))
        self._read_clients: dict[str, ReplaceableClient] = {}

    async def append(self, stream: str, record: bytes) -> int:
        """
        Append a record.

        :return: the record's offset.
        :raises LogUnavailable: if the append had no effect.
        :raises LogUncertain: if the append may have taken effect.
        """
        try:
            offset = await self._append(stream, record)
        except LogUnavailable:
            APPENDS.labels(stream, "unavailable").inc()
            raise
        except LogUncertain:
            APPENDS.labels(stream, "uncertain").inc()
            raise
        APPENDS.labels(stream, "written").inc()
        return offset

    async def read(
        self, stream: str, from_offset: int, *, wait: float, limit: int
    ) -> Page:
        """
        Read records, starting at an offset.

        :param wait: seconds to wait for a record if there is none.
        :param limit: maximum number of records.
        :raises LogUnavailable: if the read fails or times out.
        """
        try:
            return await self._read(stream, from_offset, wait, limit)
        except LogUnavailable:
            READ_FAILURES.labels(stream).inc()
            raise

    async def close(self) -> None:
        """Close the HTTP clients that no call is using."""
        for client in (self._append_client, *self._read_clients.values()):
            await client.close()

    async def _append(self, stream: str, record: bytes) -> int:
        try:
            with anyio.fail_after(self._timeout_s):
                async with (
                    self._append_client.use() as client,
                    client.stream(
                        "POST", f"/streams/{stream}", content=record
                    ) as reply,
                ):
                    content = await read_limited(
                        reply, _MAX_APPEND_REPLY_BYTES
                    )
        except _CONNECT_ERRORS as exc:
            raise LogUnavailable(f"cannot connect: {exc!r}") from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise LogUncertain(f"no reply to an append: {exc!r}") from exc
        _check_append_status(reply)
        return _parse_offset(content)

    async def _read(
        self, stream: str, from_offset: int, wait: float, limit: int
    ) -> Page:
        read_client = self._read_clients.get(stream)
        if read_client is None:
            timeout = httpx.Timeout(self._timeout_s, read=None)
            read_client = self._read_clients[stream] = ReplaceableClient(
                self._url, timeout
            )
        query = {"from": from_offset, "wait": wait, "limit": limit}
        try:
            with anyio.fail_after(wait + _READ_MARGIN_S):
                async with read_client.use() as client:
                    status, content = await _read_reply(
                        client, f"/streams/{stream}", query
                    )
        except (httpx.HTTPError, TimeoutError) as exc:
            raise LogUnavailable(f"read from the log failed: {exc!r}") from exc
        if status != httpx.codes.OK:
            raise LogUnavailable(f"read from the log returned status {status}")
        return _parse_page(content)


@asynccontextmanager
async def open_http_log(
    url: str, timeout_s: float = _DEFAULT_TIMEOUT_S
) -> AsyncIterator[HttpLog]:
    """Open a client of the log; close its connections on exit."""
    log = HttpLog(url, timeout_s)
    try:
        yield log
    finally:
        await log.close()


def _check_append_status(reply: httpx.Response) -> None:
    status = reply.status_code
    if status == httpx.codes.OK:
        return
    refused = status == httpx.codes.SERVICE_UNAVAILABLE
    if refused or reply.is_client_error:
        raise LogUnavailable(f"the log refused an append with {status}")
    raise LogUncertain(f"the log answered an append with {status}")


async def _read_reply(
    client: httpx.AsyncClient, path: str, query: dict[str, Any]
) -> tuple[int, bytes]:
    async with client.stream("GET", path, params=query) as reply:
        return reply.status_code, await read_limited(reply, _MAX_PAGE_BYTES)


def _parse_offset(content: bytes) -> int:
    try:
        return int(json.loads(content)["offset"])
    except (ValueError, KeyError, TypeError) as exc:
        raise LogUncertain(f"not an offset: {exc!r}") from exc


def _parse_page(content: bytes) -> Page:
    try:
        first, earliest, end, records = msgpack.unpackb(content)
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        raise LogUnavailable(
            f"read reply is not a MessagePack page: {exc!r}"
        ) from exc
    if not _is_page(first, earliest, end, records):
        raise LogUnavailable("read reply has fields of an unexpected type")
    return Page(first=first, records=records, earliest=earliest, end=end)


def _is_page(first: Any, earliest: Any, end: Any, records: Any) -> bool:
    return (
        all(type(offset) is int for offset in (first, earliest, end))
        and isinstance(records, list)
        and all(type(record) is bytes for record in records)
    )
