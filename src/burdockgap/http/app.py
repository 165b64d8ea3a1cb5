"""The ASGI application that serves callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from burdockgap.http import headers as header_names
from burdockgap.http.caller_body import CallerBody
from burdockgap.http.caller_gone import CallerGone
from burdockgap.http.statuses import status_of
from burdockgap.tasks.background import background
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockgap.clock import Clock
    from burdockgap.http.request_parser import RequestParser
    from burdockgap.http.shedder import Shedder
    from burdockgap.metrics import Metrics
    from burdockgap.router.route_reply import RouteReply
    from burdockgap.router.route_request import RouteRequest
    from burdockgap.router.router import Router

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

_RETRY_AFTER_S = "1"
_IDLE_TIMEOUT_S = 30.0


class CallerApp:
    """
    Serves callers' requests.

    :param parser: parses requests.
    :param router: forwards requests to their targets.
    :param clock: source of elapsed time.
    :param metrics: metrics of the daemon.
    :param shedder: refuses requests while the daemon is overloaded.
    :param idle_timeout_s: maximum time for sending one response chunk
        and for receiving one request chunk.
    :ivar in_flight: number of requests being served.
    :ivar leaving: whether new requests are refused during shutdown.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_parser",
        "_router",
        "_shedder",
        "_idle_timeout_s",
        "in_flight",
        "leaving",
    )

    def __init__(
        self,
        *,
        parser: RequestParser,
        router: Router,
        clock: Clock,
        metrics: Metrics,
        shedder: Shedder,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._shedder = shedder
        self._parser = parser
        self._router = router
        self._clock = clock
        self._metrics = metrics
        self.in_flight = 0
        self.leaving = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI connection scope; ignore all but HTTP."""
        if scope["type"] != "http":
            return
        started = self._clock.now()
        self.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        except CallerGone:
            self._metrics.callers_gone.inc()
        except Refusal:
            raise
        except Exception:
            logger.exception(
                "request {} {} failed with an unexpected error",
                scope["method"],
                scope["path"],
            )
            raise
        finally:
            self.in_flight -= 1
            self._metrics.latency.observe(self._clock.now() - started)

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        response = _Response(send, self._idle_timeout_s)
        body = CallerBody(receive, self._idle_timeout_s)
        try:
            self._check_not_leaving()
            self._shedder.check()
            req = await self._parser.parse(scope, body)
            response.request_id = req.request_id
            await self._route(req, response, body)
            self._metrics.requests.labels(Verdict.RAN.value, "").inc()
        except Refusal as refusal:
            self._metrics.requests.labels(
                refusal.verdict.value, refusal.reason.value
            ).inc()
            await response.refuse(refusal)

    async def _route(
        self, req: RouteRequest, response: _Response, body: CallerBody
    ) -> None:
        """Route a request; cancel it if the caller disconnects."""
        with anyio.CancelScope() as scope:
            async with (
                background(_cancel_on_disconnect, body, scope),
                self._router.route(req) as reply,
            ):
                await response.forward(reply)
        if scope.cancelled_caught:
            raise CallerGone

    def _check_not_leaving(self) -> None:
        if self.leaving:
            raise Refusal(
                Verdict.NOT_RUN,
                Reason.DRAINING,
                "this daemon is stopping; use another one",
            )


class _Response:
    __slots__ = ("_send", "_idle_timeout_s", "_started", "request_id")

    def __init__(self, send: Send, idle_timeout_s: float) -> None:
        self._send = send
        self._idle_timeout_s = idle_timeout_s
        self._started = False
        self.request_id = ""

    async def forward(self, reply: RouteReply) -> None:
        await self._start(
            reply.status,
            [
                *_returned_headers(reply.headers),
                (header_names.VERDICT, Verdict.RAN.value),
                (header_names.OWNER, reply.owner),
                (header_names.OWNER_ADDRESS, reply.owner_address),
            ],
        )
        async for data in reply.body:
            await self._send_chunk(data, more=True)
        await self._send_chunk(b"", more=False)

    async def refuse(self, refusal: Refusal) -> None:
        if self._started:
            # The server closes the connection without the final chunk,
            # so the caller detects that the response is incomplete.
            raise refusal
        text = f"{refusal.reason.value}: {refusal.detail}\n".encode()
        await self._start(
            status_of(refusal),
            [
                ("content-type", "text/plain; charset=utf-8"),
                ("content-length", str(len(text))),
                ("retry-after", _RETRY_AFTER_S),
                (header_names.VERDICT, refusal.verdict.value),
                (header_names.REASON, refusal.reason.value),
            ],
        )
        await self._send_chunk(text, more=False)

    async def _start(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        headers.append((header_names.REQUEST_ID, self.request_id))
        self._started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                    if value
                ],
            }
        )

    async def _send_chunk(self, data: bytes, *, more: bool) -> None:
        with anyio.move_on_after(self._idle_timeout_s) as scope:
            await self._send(
                {"type": "http.response.body", "body": data, "more_body": more}
            )
        if scope.cancelled_caught:
            raise CallerGone


def _returned_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in header_names.HOP_BY_HOP
    ]


async def _cancel_on_disconnect(
    body: CallerBody, scope: anyio.CancelScope
) -> None:
    await body.wait_disconnect()
    scope.cancel()
