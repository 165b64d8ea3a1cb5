"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_MAX_HEAD_BYTES = 64 * 1024


class Message:
    """
    A request or a response.

    :param first: the first line's three words.
    :param headers: values by name in lower case.
    :param body: the whole body.
    """

    __slots__ = ("body", "first", "headers")

    def __init__(
        self, first: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


class Reply:
    """
    What a handler answers.

    :param status: the status.
    :param headers: headers besides the length.
    :param body: the whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} X"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; ``None`` if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await _read_chunks(reader)
        elif length := int(headers.get("content-length", "0")):
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0].split(" ", 2), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


class WebServer:
    """
    Serves one handler at an address until it is closed.

    A handler that returns ``None`` breaks the connection off.

    :param handler: answers a request.
    """

    def __init__(
        self, handler: Callable[[Message], Awaitable[Reply | None]]
    ) -> None:
        self._handler = handler
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._listener = await asyncio.start_server(
            self._accept, host, port, limit=_MAX_HEAD_BYTES
        )

    def close(self) -> None:
        """Stop at once, as a process that is killed."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task of its own: the stream's would report its cancellation
        # at the end of the case as an error.
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                reply = await self._handler(req)
                if reply is None:
                    break
                writer.write(reply.encode())
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 1.0,
) -> Message | None:
    """
    Send a request on a connection of its own.

    :return: the response, ``None`` if none arrives in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in {"POST", "PUT"}:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
