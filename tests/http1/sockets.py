"""Servers and raw client connections for tests of the data path."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from burdockgap.http1.server import Server, open_server

HOST = "127.0.0.1"


@asynccontextmanager
async def open_scripted_server(script):
    """Listen, and run a coroutine function for each connection."""

    async def run(reader, writer):
        try:
            await script(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(run, HOST, 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


@asynccontextmanager
async def open_http_server(handler, **options):
    """Start a server; yield it with the streams of one connection."""
    server = Server(handler, **options)
    listener = await asyncio.start_server(lambda *_: None, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    listener.close()
    await listener.wait_closed()
    async with open_server(server, HOST, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            yield server, reader, writer
        finally:
            writer.close()


async def read_head(reader):
    """Read the status line and the headers."""
    return await reader.readuntil(b"\r\n\r\n")
