"""Small HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_MAX_LINE = 1 << 20


class Message:
    """
    A request or a response.

    :param start: the words of the start line.
    :param headers: header values by name in lower case.
    :param body: the whole body.
    """

    __slots__ = ("body", "headers", "start")

    def __init__(
        self, start: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, ``None`` if the stream has ended."""
    line = await reader.readline()
    if not line:
        return None
    start = line.decode("latin-1").strip().split(" ", 2)
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(start, headers, body)


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded request, with a length if it has a body."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[Message], Awaitable[bytes | None]],
) -> None:
    """Answer a connection's requests; ``None`` closes it."""
    # A task that is cancelled as the script ends has nothing to report.
    with suppress(
        OSError,
        asyncio.CancelledError,
        asyncio.IncompleteReadError,
        ValueError,
    ):
        while (req := await read_message(reader)) is not None:
            data = await answer(req)
            if data is None:
                break
            writer.write(data)
            await writer.drain()
    writer.close()


async def open_connection(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    return await asyncio.open_connection(host, port, limit=_MAX_LINE)


async def exchange(
    host: str, port: int, data: bytes, timeout_s: float = 5.0
) -> Message | None:
    """
    Send a request over a connection of its own.

    :return: the response, ``None`` if the connection ended before it.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await open_connection(host, port)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
