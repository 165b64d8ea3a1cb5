"""The ASGI application of the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger

from burdockgap.admin.api_error import ApiError
from burdockgap.admin.body import read_body
from burdockgap.admin.error_view import ErrorView
from burdockgap.admin.fields import Fields
from burdockgap.admin.guard import Guard
from burdockgap.admin.request import Request
from burdockgap.admin.response import JSON_TYPE, Response
from burdockgap.admin.router import Router
from burdockgap.admin.routes import make_routes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.admin.backend import AdminBackend
    from burdockgap.metrics import Metrics

_BAD_REQUEST_CODES = frozenset({400, 413, 415})
_LISTENER = "admin"


class AdminApp:
    """
    Serves operators, monitoring systems and the daemon's target.

    :param backend: the daemon.
    :param metrics: its metrics.
    :param token: bearer token that operators send, "" for none.
    """

    __slots__ = ("_guard", "_metrics", "_router")

    def __init__(
        self, backend: AdminBackend, metrics: Metrics, *, token: str
    ) -> None:
        self._router = Router(make_routes(backend, metrics))
        self._guard = Guard(token)
        self._metrics = metrics

    async def __call__(
        self,
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            req = Request(scope)
            await _send(await self._answer(req, receive), send)
        else:
            await send({"type": "websocket.close"})

    async def _answer(
        self, req: Request, receive: Callable[[], Awaitable[Any]]
    ) -> Response:
        """Answer a request; exceptions become error responses."""
        try:
            return await self._dispatch(req, receive)
        except ApiError as exc:
            if exc.status in _BAD_REQUEST_CODES:
                self._metrics.bad_requests.labels(_LISTENER).inc()
            return Response.json(ErrorView(exc.text), exc.status)
        except Exception:
            logger.exception(
                "admin API: unhandled exception in {} {}", req.method, req.path
            )
            text = "internal error; see the daemon's log lines"
            return Response.json(ErrorView(text), 500)

    async def _dispatch(
        self, req: Request, receive: Callable[[], Awaitable[Any]]
    ) -> Response:
        """Find the route, check token and body, call the handler."""
        route = self._router.find(req)
        if route is None or route.requires_token:
            self._guard.check(req)
        if route is None:
            raise ApiError(404, f"no such path: {req.path}")
        if req.method == "POST":
            _check_content_type(req)
            req.fields = Fields.parse(await read_body(receive))
        return await route.handler(req)


def _check_content_type(req: Request) -> None:
    """
    Check that a change is sent as JSON.

    Browsers send this type to another origin only after a CORS
    preflight, which the API doesn't grant.
    """
    given = req.headers.get("content-type", "").partition(";")[0]
    if given.strip().lower() != JSON_TYPE:
        raise ApiError(415, f"send the body as content-type {JSON_TYPE}")


async def _serve_lifespan(
    receive: Callable[[], Awaitable[Any]],
    send: Callable[[Any], Awaitable[None]],
) -> None:
    """Acknowledge the start and the stop of the server."""
    await receive()
    await send({"type": "lifespan.startup.complete"})
    await receive()
    await send({"type": "lifespan.shutdown.complete"})


async def _send(
    resp: Response, send: Callable[[Any], Awaitable[None]]
) -> None:
    """Send a response over ASGI."""
    headers = [
        (b"content-type", resp.content_type.encode("latin-1")),
        (b"content-length", str(len(resp.body)).encode()),
        (b"cache-control", b"no-store"),
    ]
    if resp.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    await send(
        {
            "type": "http.response.start",
            "status": resp.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": resp.body})
