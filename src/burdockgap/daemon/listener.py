"""Serving of an ASGI application over HTTP."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_GRACE_S = 1.0
_BACKLOG = 1024
_KEEP_ALIVE_S = 75


@asynccontextmanager
async def serve_http(
    app: Any, bind: str, *, header_bytes: int
) -> AsyncIterator[None]:
    """
    Serve an application on ``ip:port`` until the block ends.

    :param header_bytes: largest size of a request's head.
    :raises OSError: if the address cannot be bound.
    """
    stop = anyio.Event()
    cfg = Config()
    cfg.bind = [bind]
    cfg.backlog = _BACKLOG
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = _GRACE_S
    cfg.keep_alive_timeout = _KEEP_ALIVE_S
    cfg.h11_max_incomplete_size = header_bytes
    cfg.include_server_header = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, app, cfg, stop)
        try:
            yield
        finally:
            stop.set()


async def _serve(app: Any, cfg: Config, stop: anyio.Event) -> None:
    await serve(app, cfg, shutdown_trigger=stop.wait, mode="asgi")
