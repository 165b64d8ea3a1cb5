"""The ASGI application that callers talk to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from burdockgap.http import headers as names
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
_SILENCE_S = 30.0


class CallerApp:
    """
    Serves callers' requests.

    :param parser: reads requests.
    :param router: finds their targets.
    :param clock: source of elapsed time.
    :param metrics: counters.
    :param shedder: refuses requests while the daemon is overloaded.
    :param silence_s: longest time in which a caller must take a part of
        its answer or send one of its request.
    :ivar leaving: whether new requests are refused.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_parser",
        "_router",
        "_shedder",
        "_silence_s",
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
        silence_s: float = _SILENCE_S,
    ) -> None:
        self._silence_s = silence_s
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
        """Serve one ASGI scope."""
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
            logger.exception("{} {} failed", scope["method"], scope["path"])
            raise
        finally:
            self.in_flight -= 1
            self._metrics.latency.observe(self._clock.now() - started)

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        answer = _Answer(send, self._silence_s)
        body = CallerBody(receive, self._silence_s)
        try:
            self._check_open()
            self._shedder.check()
            req = await self._parser.parse(scope, body)
            answer.request_id = req.request_id
            await self._route(req, answer, body)
            self._metrics.requests.labels(Verdict.RAN.value, "").inc()
        except Refusal as refusal:
            self._metrics.requests.labels(
                refusal.verdict.value, refusal.reason.value
            ).inc()
            await answer.refuse(refusal)

    async def _route(
        self, req: RouteRequest, answer: _Answer, body: CallerBody
    ) -> None:
        """Route a request unless its caller goes away meanwhile."""
        with anyio.CancelScope() as scope:
            async with (
                background(_cancel_if_gone, body, scope),
                self._router.route(req) as reply,
            ):
                await answer.forward(reply)
        if scope.cancelled_caught:
            raise CallerGone

    def _check_open(self) -> None:
        if self.leaving:
            raise Refusal(
                Verdict.NOT_RUN,
                Reason.DRAINING,
                "this daemon is stopping; use another one",
            )


class _Answer:
    __slots__ = ("_send", "_silence_s", "_started", "request_id")

    def __init__(self, send: Send, silence_s: float) -> None:
        self._send = send
        self._silence_s = silence_s
        self._started = False
        self.request_id = ""

    async def forward(self, reply: RouteReply) -> None:
        await self._start(
            reply.status,
            [
                *_passed_back(reply.headers),
                (names.VERDICT, Verdict.RAN.value),
                (names.OWNER, reply.owner),
                (names.OWNER_ADDRESS, reply.owner_address),
            ],
        )
        async for data in reply.body:
            await self._part(data, more=True)
        await self._part(b"", more=False)

    async def refuse(self, refusal: Refusal) -> None:
        if self._started:
            # The server closes the connection without the end marker of
            # the body, so the caller sees that the answer is not whole.
            raise refusal
        text = f"{refusal.reason.value}: {refusal.detail}\n".encode()
        await self._start(
            status_of(refusal),
            [
                ("content-type", "text/plain; charset=utf-8"),
                ("content-length", str(len(text))),
                ("retry-after", _RETRY_AFTER_S),
                (names.VERDICT, refusal.verdict.value),
                (names.REASON, refusal.reason.value),
            ],
        )
        await self._part(text, more=False)

    async def _start(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        headers.append((names.REQUEST_ID, self.request_id))
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

    async def _part(self, data: bytes, *, more: bool) -> None:
        with anyio.move_on_after(self._silence_s) as scope:
            await self._send(
                {"type": "http.response.body", "body": data, "more_body": more}
            )
        if scope.cancelled_caught:
            raise CallerGone


def _passed_back(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in names.HOP_BY_HOP
    ]


async def _cancel_if_gone(body: CallerBody, scope: anyio.CancelScope) -> None:
    await body.wait_gone()
    scope.cancel()
