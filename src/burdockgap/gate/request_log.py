"""A log of non-idempotent requests, so that none runs twice."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

from burdockgap.gate.logged_request import LoggedRequest
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.clock import Clock

_WINDOW_S = 600.0
_MAX_ENTRIES = 100_000
_MAX_BODY_BYTES = 8 * 1024 * 1024


class RequestLog:
    """
    Recent request ids with their responses, for deduplication.

    A resend is answered from the log. Entries older than ``_WINDOW_S``
    or in excess of ``max_entries`` are evicted, the oldest first.
    Bodies in excess of ``max_body_bytes`` are dropped earlier, after
    which a resend is refused with the verdict of the first attempt. A
    request in flight is never evicted.

    :param clock: the time source.
    :param max_entries: maximum number of ended requests in the log.
    :param max_body_bytes: maximum size of all stored response bodies.
    """

    __slots__ = (
        "_body_bytes",
        "_clock",
        "_ended",
        "_entries",
        "_max_body_bytes",
        "_max_entries",
        "_with_body",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        max_entries: int = _MAX_ENTRIES,
        max_body_bytes: int = _MAX_BODY_BYTES,
    ) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._max_body_bytes = max_body_bytes
        self._entries: dict[str, LoggedRequest] = {}
        self._ended: deque[LoggedRequest] = deque()
        self._with_body: deque[LoggedRequest] = deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    async def find(
        self, request_id: str, fingerprint: int, deadline: float
    ) -> LoggedRequest | None:
        """
        Return the entry of an earlier attempt that has ended.

        An attempt in flight is waited for. ``None`` means that the
        request may be dispatched; :meth:`recording` must follow without
        an ``await`` in between, so that no other attempt starts.

        :param deadline: clock time at which the caller gives up.
        :raises Refusal: if the id belongs to a different request, or
            the earlier attempt does not end before the deadline.
        """
        while True:
            self._evict_expired()
            entry = self._entries.get(request_id)
            if entry is None:
                return None
            if entry.fingerprint != fingerprint:
                raise _id_reused_refusal()
            if entry.ended_at is not None:
                return entry
            await self._wait(entry, deadline)

    @contextmanager
    def recording(
        self, request_id: str, fingerprint: int
    ) -> Iterator[LoggedRequest]:
        """
        Record a request while it is served.

        An entry that is not marked as dispatched is removed at the end.
        """
        entry = LoggedRequest(request_id=request_id, fingerprint=fingerprint)
        self._entries[request_id] = entry
        try:
            yield entry
        finally:
            self._end(entry)

    async def _wait(self, entry: LoggedRequest, deadline: float) -> None:
        with anyio.move_on_after(deadline - self._clock.now()) as scope:
            await entry.wait()
        if scope.cancelled_caught:
            detail = "The same request is in flight; ask again later."
            raise Refusal(Verdict.MAY_HAVE_RUN, Reason.DUPLICATE, detail)

    def _end(self, entry: LoggedRequest) -> None:
        entry.end(self._clock.now())
        if not entry.dispatched:
            del self._entries[entry.request_id]
            return
        self._ended.append(entry)
        if entry.body is not None:
            self._body_bytes += len(entry.body)
            self._with_body.append(entry)
        self._drop_bodies()
        self._evict_expired()

    def _drop_bodies(self) -> None:
        while self._body_bytes > self._max_body_bytes:
            self._drop_body(self._with_body.popleft())

    def _drop_body(self, entry: LoggedRequest) -> None:
        if entry.body is not None:
            self._body_bytes -= len(entry.body)
            entry.drop_response()

    def _evict_expired(self) -> None:
        cutoff = self._clock.now() - _WINDOW_S
        while self._ended and self._must_evict(self._ended[0], cutoff):
            entry = self._ended.popleft()
            del self._entries[entry.request_id]
            self._drop_body(entry)
        while self._with_body and self._with_body[0].body is None:
            self._with_body.popleft()

    def _must_evict(self, entry: LoggedRequest, cutoff: float) -> bool:
        if len(self._ended) > self._max_entries:
            return True
        return entry.ended_at is not None and entry.ended_at < cutoff


def _id_reused_refusal() -> Refusal:
    detail = "The request id stands for another request; use a new one."
    return Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
