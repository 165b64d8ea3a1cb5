"""
A stand-in for the platform's log, in memory, over HTTP.

``POST /streams/NAME`` appends the body. ``GET /streams/NAME`` with
``from``, ``wait`` and ``limit`` answers with MessagePack ``[first,
earliest, end, records]``. ``POST /control`` switches faults, see
:class:`standins.log_faults.LogFaults`, and trims streams.
``GET /control/stats`` counts calls.
"""

from __future__ import annotations

import argparse
import json
import signal
import socket
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgpack
from hypercorn.asyncio import serve
from hypercorn.config import Config

from standins.log_faults import LogFaults
from standins.log_stats import LogStats
from standins.log_store import LogStore
from standins.pacer import Pacer

_BACKLOG = 1024
_KEEP_ALIVE_S = 300
_STREAMS_PREFIX = "/streams/"


class PlatformLog:
    """
    The ASGI application of the stand-in log.

    :param retain: number of newest records kept per stream, 0 to keep
        all.
    :param append_rate: appends per second, 0 for no limit.
    """

    __slots__ = ("_faults", "_pacer", "_stats", "_store")

    def __init__(self, *, retain: int = 0, append_rate: float = 0) -> None:
        self._store = LogStore(retain)
        self._faults = LogFaults()
        self._stats = LogStats()
        self._pacer = Pacer(append_rate)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle(scope, receive, send)

    async def _handle(self, scope: Any, receive: Any, send: Any) -> None:
        path = scope["path"]
        if path == "/control":
            self._control(json.loads(await _read_body(receive)))
            await _reply(send, 200, b"{}")
        elif path == "/control/stats":
            await _reply(send, 200, self._stats_json())
        elif path.startswith(_STREAMS_PREFIX):
            await self._handle_stream(scope, receive, send)
        else:
            await _reply(send, 404, b"no such path")

    async def _handle_stream(
        self, scope: Any, receive: Any, send: Any
    ) -> None:
        stream = scope["path"].removeprefix(_STREAMS_PREFIX)
        body = await _read_body(receive)
        await anyio.sleep(self._faults.delay_s)
        if self._faults.down:
            await _reply(send, 503, b"down")
        elif scope["method"] == "POST":
            await self._append(stream, body, receive, send)
        else:
            await self._read(stream, scope["query_string"], send)

    async def _append(
        self, stream: str, body: bytes, receive: Any, send: Any
    ) -> None:
        await self._pacer.wait_turn()
        offset = self._store.append(stream, body)
        self._stats.appends += 1
        self._stats.bytes_in += len(body)
        if self._faults.should_lose_reply():
            await _wait_disconnect(receive)
            return
        await _reply(send, 200, json.dumps({"offset": offset}).encode())

    async def _read(self, stream: str, query: bytes, send: Any) -> None:
        fields = parse_qs(query.decode())
        first = int(fields["from"][0])
        limit = int(fields["limit"][0])
        wait = float(fields["wait"][0])
        await self._store.wait_past(stream, first, wait)
        if self._faults.down:
            await _reply(send, 503, b"down")
            return
        page = self._store.page(stream, first, limit)
        body = msgpack.packb(
            [page.first, page.earliest, page.end, page.records]
        )
        self._stats.reads += 1
        self._stats.bytes_out += len(body)
        await _reply(send, 200, body)

    def _control(self, fields: dict[str, Any]) -> None:
        faults = self._faults
        faults.down = fields.get("down", faults.down)
        faults.delay_s = fields.get("delay_s", faults.delay_s)
        faults.lose_replies = fields.get("lose_replies", faults.lose_replies)
        trim = fields.get("trim")
        if trim is not None:
            self._store.trim(trim["stream"], trim["before"])
        self._store.wake()

    def _stats_json(self) -> bytes:
        stats = self._stats
        counts = {name: getattr(stats, name) for name in stats.__slots__}
        return json.dumps(counts).encode()


async def _read_body(receive: Any) -> bytes:
    body = b""
    while True:
        event = await receive()
        body += bytes(event.get("body", b""))
        if not event.get("more_body", False):
            return body


async def _wait_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _reply(send: Any, status: int, body: bytes) -> None:
    length = str(len(body)).encode()
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", length)],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _run_lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _serve(app: PlatformLog, listener: socket.socket) -> None:
    config = Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = 0.1
    config.loglevel = "ERROR"
    print("listening", listener.getsockname()[1], flush=True)
    await serve(app, config, shutdown_trigger=_wait_signal)


async def _wait_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def main() -> None:
    """Serve until SIGTERM or SIGINT arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--retain", type=int, default=0)
    parser.add_argument("--append-rate", type=float, default=0)
    args = parser.parse_args()
    app = PlatformLog(retain=args.retain, append_rate=args.append_rate)
    listener = socket.create_server((args.host, args.port), backlog=_BACKLOG)
    anyio.run(_serve, app, listener)


if __name__ == "__main__":
    main()
