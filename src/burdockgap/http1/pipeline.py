"""Requests that a caller sent before earlier ones were answered."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from burdockgap.http1.pipelined_request import PipelinedRequest

if TYPE_CHECKING:
    from burdockgap.http1.request import Request
    from burdockgap.http1.response import Response
    from burdockgap.http1.server import Server

_MAX_QUEUED = 16
_MAX_RUNNING = 8
_MAX_WAITING_BYTES = 1024 * 1024
"""Bodies of responses that wait for an earlier one to be sent; no
further request is started ahead above this size."""


class Pipeline:
    """
    Runs the requests of one connection and yields responses in order.

    The first request runs in the caller of :meth:`answer_first`. Those
    behind it are started ahead as long as they and all before them may
    overlap; any other starts when it has become the first.

    :param server: the server that answers the requests.
    """

    __slots__ = ("_entries", "_server", "_waiting_bytes")

    def __init__(self, server: Server) -> None:
        self._server = server
        self._entries: deque[PipelinedRequest] = deque()
        self._waiting_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Whether no more requests should be read for now."""
        return len(self._entries) > _MAX_QUEUED

    @property
    def held_bytes(self) -> int:
        """Bytes of the requests and of responses that wait."""
        requests = sum(entry.req.held_bytes for entry in self._entries)
        return requests + self._waiting_bytes

    @property
    def first(self) -> PipelinedRequest:
        """The request whose response is sent next."""
        return self._entries[0]

    @property
    def next_is_started(self) -> bool:
        """Whether the request behind the first one is running."""
        return len(self._entries) > 1 and self._entries[1].task is not None

    def add(self, req: Request, *, keep_alive: bool) -> None:
        """Append a request, and start it if it may run ahead."""
        self._entries.append(PipelinedRequest(req, keep_alive=keep_alive))
        self._start_ahead()

    async def answer_first(self) -> Response:
        """Return the response to the first request."""
        first = self.first
        if first.task is None:
            return await self._server.answer(first.req)
        response = await first.task
        # The task would keep the response until it has been sent.
        first.task = None
        self._waiting_bytes -= len(response.body)
        return response

    def remove_first(self) -> None:
        """Remove the first request after its response was sent."""
        self._entries.popleft().req.release()
        self._start_ahead()

    def cancel(self) -> None:
        """Cancel and remove all requests."""
        for entry in self._entries:
            if entry.task is not None:
                entry.task.cancel()
            entry.req.release()
        self._entries.clear()
        self._waiting_bytes = 0

    def _start_ahead(self) -> None:
        if len(self._entries) < 2 or self._server.leaving:
            return
        running = 0
        for place, entry in enumerate(self._entries):
            if not self._may_overlap(entry):
                return
            if place and entry.task is None:
                if (
                    running >= _MAX_RUNNING
                    or self._waiting_bytes > _MAX_WAITING_BYTES
                ):
                    return
                entry.task = self._server.loop.create_task(
                    self._run_ahead(entry.req)
                )
            running += entry.task is None or not entry.task.done()

    async def _run_ahead(self, req: Request) -> Response:
        response = await self._server.answer(req)
        self._waiting_bytes += len(response.body)
        # The finished task still counts as running in this iteration of
        # the event loop.
        self._server.loop.call_soon(self._start_ahead)
        return response

    def _may_overlap(self, entry: PipelinedRequest) -> bool:
        if entry.may_overlap is None:
            entry.may_overlap = self._server.may_overlap(entry.req)
        return entry.may_overlap
