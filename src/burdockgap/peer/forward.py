"""Forwarding of a request to the gate of a peer."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
from grpclib.const import Cardinality
from grpclib.exceptions import ProtocolError

from burdockgap.peer.cancel_count import restored_cancel_count
from burdockgap.peer.messages.forward_head import ForwardHead
from burdockgap.peer.messages.reply_refusal import ReplyRefusal
from burdockgap.peer.method import (
    FORWARD_PATH,
    FORWARD_REPLY,
    FORWARD_REQUEST,
)
from burdockgap.peer.pool import PEER_ERRORS
from burdockgap.peer.upload import Upload
from burdockgap.router.route_reply import RouteReply
from burdockgap.tasks.background import background
from burdockgap.verdict import Reason, Refusal, Verdict
from burdockgap.wire import DecodeError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from burdockgap.gate.gate_request import GateRequest
    from burdockgap.peer.connection import Connection
    from burdockgap.peer.messages.reply_head import ReplyHead
    from burdockgap.peer.pool import PeerPool
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.router.server_stats import ServerStats


class _StreamAbandoned(Exception):  # noqa: N818 - not an error
    """Makes the library reset a stream that is no longer needed."""


_CONNECT_TIMEOUT_S = 0.5
_BODY_PART_TIMEOUT_S = 30.0
_STREAM_ERRORS = (*PEER_ERRORS, ProtocolError, DecodeError)


@asynccontextmanager
async def forward(
    pool: PeerPool,
    entry: SessionEntry,
    req: GateRequest,
    timeout_s: float,
    stats: ServerStats,
) -> AsyncIterator[RouteReply]:
    """
    Forward a request and receive the reply's head.

    Leaving the context early cancels the request at the peer.

    :param pool: connections to peers.
    :param entry: the session of the peer.
    :param req: the request.
    :param timeout_s: timeout of the attempt, in seconds.
    :param stats: receives the load that the reply reports.
    :raises Refusal: ``not-run`` if the peer was not reached or its gate
        refused with that verdict, else ``may-have-run``.
    """
    async with _open_stream(pool, entry, timeout_s) as (conn, stream):
        await _send_head(stream, entry, req, timeout_s)
        upload = Upload(stream, req.body)
        async with _uploading(upload, req):
            with upload.scope:
                head = await _receive_head(stream, entry, timeout_s)
            if upload.failed:
                raise Refusal(
                    Verdict.MAY_HAVE_RUN,
                    Reason.BAD_REQUEST,
                    "the request's body ended early; send it again",
                )
            pool.record_activity(conn)
            stats.record_load(in_flight=head.in_flight, limit=head.limit)
            if isinstance(head, ReplyRefusal):
                raise _refusal_of(head)
            yield RouteReply(
                status=head.status,
                headers=[(name, value) for name, value in head.headers],
                body=_receive_body(
                    stream, partial(pool.record_activity, conn)
                ),
                owner=head.name,
                owner_address=entry.http_address,
            )


@asynccontextmanager
async def _open_stream(
    pool: PeerPool, entry: SessionEntry, timeout_s: float
) -> AsyncIterator[tuple[Connection, Any]]:
    try:
        with anyio.fail_after(min(_CONNECT_TIMEOUT_S, timeout_s)):
            conn = await pool.connection(entry.peer_address)
            stream = await _new_stream(conn)
    except PEER_ERRORS as exc:
        raise Refusal(
            Verdict.NOT_RUN, Reason.UNREACHABLE, f"{entry.name}: {exc!r}"
        ) from exc
    with pool.stream(conn, entry.peer_address):
        try:
            yield conn, stream
        finally:
            # Given an exception, the library resets the stream unless
            # it has ended; without one it would wait for a reply that
            # is no longer needed.
            abandoned = _StreamAbandoned()
            await stream.__aexit__(type(abandoned), abandoned, None)


async def _new_stream(conn: Connection) -> Any:
    stream: Any = conn.channel.request(
        FORWARD_PATH,
        Cardinality.STREAM_STREAM,
        FORWARD_REQUEST,
        FORWARD_REPLY,
        metadata=conn.metadata,
    )
    await stream.__aenter__()
    with restored_cancel_count():
        await stream.send_request()
    return stream


async def _send_head(
    stream: Any, entry: SessionEntry, req: GateRequest, timeout_s: float
) -> None:
    head = ForwardHead(
        request_id=req.request_id,
        service=req.service,
        method=req.method,
        path=req.path,
        headers=[[name, value] for name, value in req.headers],
        key_hash=req.key_hash,
        idempotent=req.idempotent,
        timeout_s=timeout_s,
        fingerprint=req.fingerprint,
        whole=req.whole,
    )
    try:
        with anyio.fail_after(timeout_s), restored_cancel_count():
            await stream.send_message(head, end=req.whole is not None)
    except _STREAM_ERRORS as exc:
        raise _connection_lost(entry, exc) from exc


@asynccontextmanager
async def _uploading(upload: Upload, req: GateRequest) -> AsyncIterator[None]:
    """Send the body concurrently, unless the head includes it."""
    if req.whole is not None:
        yield
        return
    async with background(upload.run):
        yield


async def _receive_head(
    stream: Any, entry: SessionEntry, timeout_s: float
) -> ReplyHead | ReplyRefusal:
    try:
        with anyio.fail_after(timeout_s), restored_cancel_count():
            head: ReplyHead | ReplyRefusal | None = await stream.recv_message()
    except TimeoutError as exc:
        raise Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.DEADLINE,
            f"{entry.name} gave no answer in {timeout_s:.3f} s",
        ) from exc
    except _STREAM_ERRORS as exc:
        raise _connection_lost(entry, exc) from exc
    if head is None:
        raise _connection_lost(entry, None)
    return head


async def _receive_body(
    stream: Any, record_activity: Callable[[], None]
) -> AsyncIterator[bytes]:
    try:
        while True:
            with (
                anyio.fail_after(_BODY_PART_TIMEOUT_S),
                restored_cancel_count(),
            ):
                part = await stream.recv_message()
            if part is None:
                with restored_cancel_count():
                    await stream.recv_trailing_metadata()
                return
            record_activity()
            yield part.data
    except _STREAM_ERRORS as exc:
        raise Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.TRUNCATED,
            f"the answer ended early: {exc!r}",
        ) from exc


def _connection_lost(entry: SessionEntry, exc: Exception | None) -> Refusal:
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.CONNECTION_LOST,
        f"the connection to {entry.name} was lost: {exc!r}",
    )


def _refusal_of(msg: ReplyRefusal) -> Refusal:
    return Refusal(
        Verdict(msg.verdict), Reason(msg.reason), msg.detail, owner=msg.owner
    )
