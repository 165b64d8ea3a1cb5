"""A target in trouble that sends bytes without end."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

_BLOCK_BYTES = 65_536
_MAX_SENT_BYTES = 64 * 1024 * 1024
"""Per connection; bounds the load if a daemon does not close it."""
_KINDS = (
    (b"HTTP/1.1 200 OK\r\nx: ", b"a"),
    (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    (b"HTTP/1.1 200 OK\r\nserver-seal: s\r\n\r\n", b"a"),
    (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"4\r\nabcd\r\n",
    ),
    (b"", b"\x00\xff"),
)
"""Beginnings of a response, each with the part that is repeated."""


@asynccontextmanager
async def open_endless_target(
    host: str, port: int, rng: random.Random
) -> AsyncIterator[None]:
    """
    Answer each connection's first bytes without end.

    :param rng: chooses what is sent on each connection.
    """
    writers: set[asyncio.StreamWriter] = set()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.add(writer)
        beginning, part = rng.choice(_KINDS)
        block = part * (_BLOCK_BYTES // len(part))
        # uvloop raises RuntimeError for a write to a closed transport.
        with suppress(OSError, RuntimeError):
            if await reader.read(_BLOCK_BYTES):
                writer.write(beginning)
                for _ in range(_MAX_SENT_BYTES // _BLOCK_BYTES):
                    writer.write(block)
                    await writer.drain()
        writers.discard(writer)
        writer.close()

    server = await asyncio.start_server(answer, host, port)
    try:
        yield
    finally:
        server.close()
        for writer in list(writers):
            writer.transport.abort()
