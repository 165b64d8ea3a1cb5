"""A connection to the target for grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.client_connection import ClientConnection
    from burdockgap.http1.response import Response
    from burdockgap.incarnations.target_process import TargetProcess


class TargetLink:
    """
    A connection and the process that it leads to.

    :param conn: the connection.
    :param process: the process at its end.
    :ivar is_busy: whether a call is in progress.
    """

    __slots__ = ("conn", "is_busy", "process")

    def __init__(self, conn: ClientConnection, process: TargetProcess) -> None:
        self.conn = conn
        self.process = process
        self.is_busy = False

    @property
    def is_open(self) -> bool:
        """Whether it is not known to be closed."""
        return self.conn.reusable

    def idle_s(self, now: float) -> float:
        """Return for how long nothing was sent over it, in seconds."""
        return now - self.conn.idle_since

    async def exchange(
        self, data: bytes, accepts: Callable[[Response], bool]
    ) -> Response:
        """
        Send a call and return its response.

        :param accepts: returns whether a response may belong to it.
        :raises ExchangeError: if no complete response is received.
        """
        self.is_busy = True
        try:
            return await self.conn.exchange(data, accepts=accepts)
        finally:
            self.is_busy = False
