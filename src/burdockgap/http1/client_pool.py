"""Connections to one server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_connection import ClientConnection
from burdockgap.http1.exchange_error import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.response import Response


class ClientPool:
    """
    Keeps connections to one address and opens new ones as needed.

    :param address: IP address and port.
    :param connect_timeout_s: longest time for a new connection.
    :param idle_s: seconds after which an unused connection is given up.
    :param on_unexpected: told of bytes that belong to no request.
    :param on_closed: called when the server closes a connection without
        having announced it.
    :ivar opened: connections opened so far.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_idle",
        "_idle_s",
        "_loop",
        "_on_closed",
        "_on_unexpected",
        "address",
        "opened",
    )

    def __init__(
        self,
        address: tuple[str, int],
        *,
        connect_timeout_s: float,
        idle_s: float,
        on_unexpected: Callable[[str], None] = lambda _what: None,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_closed = on_closed
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._on_unexpected = on_unexpected
        self._idle: list[ClientConnection] = []
        self._loop = asyncio.get_running_loop()
        self.opened = 0

    @property
    def has_idle(self) -> bool:
        """Whether a kept connection is open."""
        now = self._loop.time()
        return any(conn.fresh(now) for conn in self._idle)

    async def exchange(
        self,
        data: bytes,
        *,
        accepts: Callable[[Response], bool] | None = None,
        bodiless: bool = False,
        max_idle_s: float | None = None,
        silence_s: float | None = None,
    ) -> Response:
        """
        Send a request over a kept or a new connection.

        :param max_idle_s: longest time that a kept connection may have
            been unused.
        :param silence_s: longest time without any byte of the response.
        :raises ExchangeError: if no complete response comes.
        """
        conn = self._take(max_idle_s) or await self._connect()
        response = await conn.exchange(
            data, accepts=accepts, bodiless=bodiless, silence_s=silence_s
        )
        if conn.reusable:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def close(self) -> None:
        """Close the unused connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take(self, max_idle_s: float | None) -> ClientConnection | None:
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            recent = max_idle_s is None or now - conn.idle_since < max_idle_s
            if recent and conn.fresh(now):
                return conn
            conn.close()
        return None

    async def _connect(self) -> ClientConnection:
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, conn = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._loop,
                        idle_s=self._idle_s,
                        on_unexpected=self._on_unexpected,
                        on_closed=self._on_closed,
                    ),
                    *self.address,
                )
        except TimeoutError as exc:
            raise ExchangeError("connecting timed out", sent=False) from exc
        except OSError as exc:
            raise ExchangeError(
                f"connecting failed: {exc}",
                sent=False,
                refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        return conn
