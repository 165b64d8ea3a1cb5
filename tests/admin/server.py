from __future__ import annotations

import socket
from contextlib import asynccontextmanager, contextmanager

import anyio
from anyio.from_thread import start_blocking_portal
from hypercorn.asyncio import serve
from hypercorn.config import Config


@asynccontextmanager
async def serve_app(app):
    """Serve an ASGI application and yield its base URL."""
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.errorlog = None
    config.graceful_timeout = 0.2
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(
            lambda: serve(app, config, shutdown_trigger=stop.wait)
        )
        yield url
        stop.set()


@contextmanager
def serve_in_thread(app):
    """Serve an ASGI application from another thread."""
    with (
        start_blocking_portal("asyncio") as portal,
        portal.wrap_async_context_manager(serve_app(app)) as url,
    ):
        yield url
