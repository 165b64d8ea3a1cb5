"""A request and its place among those of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from burdockgap.http1.request import Request
    from burdockgap.http1.response import Response


class PipelinedRequest:
    """
    A complete request that has not been answered.

    :param req: the request.
    :param keep_alive: whether the caller keeps the connection open
        after the response.
    :ivar may_overlap: whether it may run beside others of its
        connection, ``None`` until that is needed.
    :ivar task: the task that runs it ahead of its turn, if any.
    """

    __slots__ = ("keep_alive", "may_overlap", "req", "task")

    def __init__(self, req: Request, *, keep_alive: bool) -> None:
        self.req = req
        self.keep_alive = keep_alive
        self.may_overlap: bool | None = None
        self.task: asyncio.Task[Response] | None = None
