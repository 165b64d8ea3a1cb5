"""The log entry of one non-idempotent request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from burdockgap.target import TargetReply
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

_BODY_LIMIT_BYTES = 64 * 1024


class LoggedRequest:
    """
    The state of a request and, if it is small, its response.

    ``body`` is ``None`` unless the response is complete and stored.

    :param request_id: the caller's request id.
    :param fingerprint: the request's fingerprint.
    """

    __slots__ = (
        "_ended",
        "_parts",
        "body",
        "dispatched",
        "ended_at",
        "fingerprint",
        "headers",
        "request_id",
        "status",
        "verdict",
    )

    def __init__(self, *, request_id: str, fingerprint: int) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.dispatched = False
        self.verdict = Verdict.MAY_HAVE_RUN
        self.status = 0
        self.headers: Sequence[tuple[str, str]] = ()
        self.body: bytes | None = None
        self.ended_at: float | None = None
        self._ended: anyio.Event | None = None
        self._parts: list[bytes] | None = None

    async def wait(self) -> None:
        """Wait until the request has ended."""
        if self.ended_at is not None:
            return
        if self._ended is None:
            self._ended = anyio.Event()
        await self._ended.wait()

    def end(self, at: float) -> None:
        """Mark the request as ended."""
        self.ended_at = at
        self._parts = None
        if self.body is None:
            self.drop_response()
        if self._ended is not None:
            self._ended.set()
            self._ended = None

    def drop_response(self) -> None:
        """Discard the response; the verdict is kept."""
        self.body = None
        self.headers = ()

    def capture(self, reply: TargetReply) -> TargetReply:
        """Return the reply; its body is recorded while it is read."""
        self._parts = []
        self.status = reply.status
        self.headers = list(reply.headers)
        return TargetReply(
            status=reply.status,
            headers=reply.headers,
            body=self._capture_body(reply.body),
        )

    def replay(self) -> TargetReply:
        """
        Return the recorded response.

        :raises Refusal: with the verdict of the request if its response
            is not stored.
        """
        if self.body is None:
            detail = "The request was sent before; its answer is not kept."
            raise Refusal(self.verdict, Reason.DUPLICATE, detail)
        return TargetReply(
            status=self.status,
            headers=list(self.headers),
            body=_one_part(self.body),
        )

    async def _capture_body(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        size = 0
        async for part in body:
            size += len(part)
            if size > _BODY_LIMIT_BYTES:
                self._parts = None
            elif self._parts is not None:
                self._parts.append(part)
            yield part
        self.verdict = Verdict.RAN
        if self._parts is not None:
            self.body = b"".join(self._parts)


async def _one_part(body: bytes) -> AsyncIterator[bytes]:
    yield body
