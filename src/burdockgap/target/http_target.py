"""A target that is reached over HTTP."""

from __future__ import annotations

import math
import posixpath
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import anyio
import httpx

from burdockgap.http.limited_response import read_limited
from burdockgap.http1.response_head import check_status
from burdockgap.target import http_headers
from burdockgap.target.exchange import Exchange
from burdockgap.target.request_body_error import RequestBodyError
from burdockgap.target.target_reply import TargetReply
from burdockgap.target.target_status import TargetStatus
from burdockgap.target.transports import Transports
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.clock import Clock
    from burdockgap.target.grant import Grant
    from burdockgap.target.target_info import TargetInfo
    from burdockgap.target.target_request import TargetRequest

_CONTROL_PATH = "/_burdockgap"
_CONNECT_TIMEOUT_S = 1.0
_CONTROL_TIMEOUT_S = 0.5
_MAX_CONTROL_BODY_BYTES = 1024 * 1024
_KEEPALIVE_EXPIRY_S = 2.0
_BODY_IDLE_TIMEOUT_S = 30.0
_MS_PER_S = 1000
_SHED_STATUS = 503
_BODYLESS_STATUSES = frozenset({204, 304})


# Reads and writes are limited by the request's own deadline.
_TIMEOUTS = httpx.Timeout(
    None, connect=_CONNECT_TIMEOUT_S, pool=_CONNECT_TIMEOUT_S
).as_dict()


class HttpTarget:
    """
    The endpoints of one target process.

    :param info: the target's announcement.
    :param clock: the time source for deadlines.
    :param body_idle_timeout_s: maximum time in seconds between chunks
        of a response body.
    """

    __slots__ = (
        "_base",
        "_body_idle_timeout_s",
        "_clock",
        "_transports",
        "info",
    )

    def __init__(
        self,
        info: TargetInfo,
        clock: Clock,
        *,
        body_idle_timeout_s: float = _BODY_IDLE_TIMEOUT_S,
    ) -> None:
        self._body_idle_timeout_s = body_idle_timeout_s
        self.info = info
        self._clock = clock
        self._base = httpx.URL(info.url)
        self._transports = Transports(info.url, _KEEPALIVE_EXPIRY_S)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transports.aclose()

    @asynccontextmanager
    async def send(self, req: TargetRequest) -> AsyncIterator[TargetReply]:
        """
        Send a request to the target and yield its reply.

        A request is never sent twice, not even if a pooled connection
        turns out to be closed. Leaving the context before the end of
        the response cancels the request at the target. The deadline
        applies to the response head; the body may take longer as long
        as no two chunks are further apart than ``body_idle_timeout_s``.

        :raises Refusal: with ``not-run`` if the target was not reached
            or reported that it did not run the request, otherwise with
            ``may-have-run``. Reading the reply's body raises it too.
        """
        _check_path(req.path)
        exchange = Exchange()
        scope = anyio.CancelScope()
        scope.deadline = anyio.current_time() + req.timeout_s
        with scope:
            try:
                async with self._exchange(req, exchange) as reply:
                    scope.deadline = math.inf
                    yield reply
            finally:
                await self._cancel_unfinished(req, exchange)
        if scope.cancelled_caught:
            detail = "The deadline passed; retry with a longer one."
            raise Refusal(_verdict(exchange), Reason.DEADLINE, detail)

    async def status(self) -> TargetStatus:
        """
        Query health and load.

        :raises ConnectionRefusedError: if no process listens.
        :raises ConnectionError: if the target does not respond.
        """
        resp = await self._control("GET", "status", None)
        try:
            fields = resp.json()
            return TargetStatus(
                boot_id=str(fields["boot_id"]),
                healthy=bool(fields["healthy"]),
                load=int(fields["load"]),
                leaving=bool(fields["leaving"]),
            )
        except (ValueError, TypeError, KeyError) as exc:
            raise ConnectionError("target: malformed status response") from exc

    async def grant(self, grant: Grant) -> bool:
        """
        Send a grant.

        :return: whether the target accepted it; ``False`` also if the
            target does not respond.
        """
        payload: dict[str, Any] = {
            "session_id": grant.session_id,
            "lease_s": grant.lease_s,
            # A target that was suspended may process the grant late;
            # lease_s from its receipt would then outlast the lease.
            "expires_at": self._clock.now() + grant.lease_s,
            "epochs": _epochs_payload(grant),
        }
        try:
            resp = await self._control("POST", "grant", payload)
        except ConnectionError:
            return False
        return resp.is_success

    async def drain(self) -> None:
        """
        Notify the target that it receives no new requests.

        :raises ConnectionError: if the target does not respond.
        """
        await self._control("POST", "drain", {})

    async def cancel(self, request_id: str) -> bool:
        """
        Cancel a request at the target.

        :return: whether the target reports that it no longer runs the
            request; ``False`` also if it does not respond.
        :raises ConnectionRefusedError: if no process listens.
        """
        payload = {"request_id": request_id}
        try:
            resp = await self._control("POST", "cancel", payload)
            return resp.json().get("ended") is True
        except ConnectionRefusedError:
            raise
        except (ConnectionError, ValueError, AttributeError):
            return False

    @asynccontextmanager
    async def _exchange(
        self, req: TargetRequest, exchange: Exchange
    ) -> AsyncIterator[TargetReply]:
        with self._transports.acquire() as transport:
            try:
                request = await self._build_request(req, exchange)
                self._check_not_replaced()
                resp = await transport.handle_async_request(request)
            except RequestBodyError as exc:
                detail = "The request's body ended early; send it again."
                raise Refusal(
                    _verdict(exchange), Reason.BAD_REQUEST, detail
                ) from exc
            except httpx.TransportError as exc:
                raise _send_failure(exchange, exc) from exc
            async with _closing(resp):
                _check_status(resp)
                _raise_if_not_run(resp, exchange)
                yield TargetReply(
                    status=resp.status_code,
                    headers=http_headers.end_to_end(_header_list(resp)),
                    body=_read_body(
                        req.method, resp, exchange, self._body_idle_timeout_s
                    ),
                )

    def _check_not_replaced(self) -> None:
        if self._transports.is_closed:
            detail = "Another target took its place; retry."
            raise Refusal(Verdict.NOT_RUN, Reason.TARGET_DOWN, detail)

    async def _build_request(
        self, req: TargetRequest, exchange: Exchange
    ) -> httpx.Request:
        headers = http_headers.end_to_end(req.headers)
        headers += self._own_headers(req)
        return httpx.Request(
            req.method,
            self._base.copy_with(raw_path=req.path.encode("ascii")),
            headers=headers,
            content=await _request_content(req),
            extensions={
                "trace": exchange.trace,
                "timeout": _TIMEOUTS,
            },
        )

    def _own_headers(self, req: TargetRequest) -> list[tuple[str, str]]:
        remaining_ms = math.floor(max(req.timeout_s, 0) * _MS_PER_S)
        now_ms = math.floor(self._clock.now() * _MS_PER_S)
        headers = [
            (http_headers.REQUEST_ID, req.request_id),
            (http_headers.DEADLINE_MS, str(remaining_ms)),
            (http_headers.DEADLINE_AT_MS, str(now_ms + remaining_ms)),
        ]
        if req.unit is not None:
            headers.append((http_headers.UNIT, str(req.unit)))
            headers.append((http_headers.EPOCH, str(req.epoch)))
        return headers

    async def _cancel_unfinished(
        self, req: TargetRequest, exchange: Exchange
    ) -> None:
        if exchange.completed or not exchange.sent:
            return
        with anyio.CancelScope(shield=True):
            try:
                await self.cancel(req.request_id)
            except ConnectionRefusedError:
                return

    async def _control(
        self, method: str, name: str, payload: dict[str, Any] | None
    ) -> httpx.Response:
        if self._transports.is_closed:
            raise ConnectionError("the target was replaced by a new one")
        url = self._base.copy_with(path=f"{_CONTROL_PATH}/{name}")
        request = httpx.Request(
            method, url, json=payload, extensions={"timeout": _TIMEOUTS}
        )
        try:
            with anyio.fail_after(_CONTROL_TIMEOUT_S):
                return await self._round_trip(request)
        except httpx.ConnectError as exc:
            raise ConnectionRefusedError(f"target: {exc}") from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise ConnectionError(f"target: {exc!r}") from exc

    async def _round_trip(self, request: httpx.Request) -> httpx.Response:
        """Send a request and read its complete response."""
        with self._transports.acquire() as transport:
            resp = await transport.handle_async_request(request)
            async with _closing(resp):
                body = await read_limited(resp, _MAX_CONTROL_BODY_BYTES)
        return httpx.Response(resp.status_code, content=body)


@asynccontextmanager
async def _closing(resp: httpx.Response) -> AsyncIterator[None]:
    """Close a response at the end, even in a cancelled task."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            await resp.aclose()


def _check_path(path: str) -> None:
    normalized = posixpath.normpath("/" + unquote(path.partition("?")[0]))
    segments = [segment for segment in normalized.split("/") if segment]
    is_control_path = (
        bool(segments) and segments[0].lower() == _CONTROL_PATH[1:]
    )
    if is_control_path or not path.startswith("/") or not path.isascii():
        detail = "Use a path outside the target's control endpoints."
        raise Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)


async def _request_content(
    req: TargetRequest,
) -> AsyncIterator[bytes] | bytes | None:
    if req.whole is not None:
        return req.whole or None
    # A request without a body must not use chunked encoding.
    parts = _request_parts(req.body)
    async for part in parts:
        return _chain(part, parts)
    return None


async def _request_parts(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    try:
        async for part in body:
            if part:
                yield part
    except Exception as exc:
        raise RequestBodyError from exc


async def _chain(
    first: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield first
    async for part in rest:
        yield part


def _header_list(resp: httpx.Response) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in resp.headers.raw
    ]


def _epochs_payload(grant: Grant) -> dict[str, int] | None:
    if grant.epochs is None:
        return None
    return {str(unit): epoch for unit, epoch in grant.epochs.items()}


def _verdict(exchange: Exchange) -> Verdict:
    return Verdict.MAY_HAVE_RUN if exchange.sent else Verdict.NOT_RUN


def _send_failure(exchange: Exchange, exc: httpx.TransportError) -> Refusal:
    if not exchange.sent:
        detail = "The target takes no connections; it may be starting."
        return Refusal(Verdict.NOT_RUN, Reason.TARGET_DOWN, detail)
    detail = f"The connection to the target was lost: {exc!r}"
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, detail)


def _check_status(resp: httpx.Response) -> None:
    try:
        check_status(resp.status_code, has_body=True)
    except ValueError as exc:
        detail = f"The target's answer is not valid HTTP: it {exc}."
        raise Refusal(
            Verdict.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail
        ) from exc


def _raise_if_not_run(resp: httpx.Response, exchange: Exchange) -> None:
    if resp.status_code != _SHED_STATUS:
        return
    if resp.headers.get(http_headers.NOT_RUN) != "1":
        return
    exchange.completed = True
    cause = resp.headers.get(http_headers.DETAIL, "no detail")
    detail = f"The target refused the request unrun ({cause})."
    raise Refusal(Verdict.NOT_RUN, Reason.TARGET_SHED, detail)


async def _next_part(
    parts: AsyncIterator[bytes], idle_timeout_s: float
) -> bytes | None:
    with anyio.fail_after(idle_timeout_s):
        return await anext(parts, None)


async def _read_body(
    method: str,
    resp: httpx.Response,
    exchange: Exchange,
    idle_timeout_s: float,
) -> AsyncIterator[bytes]:
    parts = resp.aiter_raw()
    try:
        while (part := await _next_part(parts, idle_timeout_s)) is not None:
            yield part
    except (httpx.TransportError, TimeoutError) as exc:
        detail = "The target's answer ended early; it is not whole."
        raise Refusal(Verdict.MAY_HAVE_RUN, Reason.TRUNCATED, detail) from exc
    if not _has_framing(method, resp):
        detail = "Let the target send Content-Length or chunks."
        raise Refusal(Verdict.MAY_HAVE_RUN, Reason.TRUNCATED, detail)
    exchange.completed = True


def _has_framing(method: str, resp: httpx.Response) -> bool:
    # Without framing, a lost connection looks like the end of a body.
    if method == "HEAD" or resp.status_code in _BODYLESS_STATUSES:
        return True
    return (
        "content-length" in resp.headers or "transfer-encoding" in resp.headers
    )
