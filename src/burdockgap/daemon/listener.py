"""HTTP listener for an ASGI application."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio import serve

from burdockgap.http import reporting_protocol
from burdockgap.http.reporting_protocol import ListenerConfig
from burdockgap.peer.address import split_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

_SHUTDOWN_GRACE_S = 1.0
_BACKLOG = 1024
_KEEP_ALIVE_S = 75


def listen(bind: str) -> socket.socket:
    """
    Listen on ``ip:port``.

    :raises OSError: if the address cannot be bound.
    """
    host, port = split_address(bind)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=_BACKLOG)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


@asynccontextmanager
async def serve_http(
    app: Any,
    sock: socket.socket,
    *,
    header_bytes: int,
    on_malformed: Callable[[], None],
) -> AsyncIterator[None]:
    """
    Serve an application on a socket until the block ends.

    :param app: the ASGI application.
    :param sock: a listening socket; this function takes ownership.
    :param header_bytes: largest size of a request's head, in bytes.
    :param on_malformed: called when a request's head is malformed.
    """
    reporting_protocol.install()
    stop = anyio.Event()
    cfg = ListenerConfig()
    cfg.on_malformed = on_malformed
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.backlog = _BACKLOG
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = _SHUTDOWN_GRACE_S
    cfg.keep_alive_timeout = _KEEP_ALIVE_S
    cfg.h11_max_incomplete_size = header_bytes
    cfg.include_server_header = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, app, cfg, stop)
        try:
            yield
        finally:
            stop.set()


async def _serve(app: Any, cfg: ListenerConfig, stop: anyio.Event) -> None:
    await serve(app, cfg, shutdown_trigger=stop.wait, mode="asgi")
