"""A pool of client connections to one server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.http1.client_connection import ClientConnection
from burdockgap.http1.exchange_error import ExchangeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.http1.response import Response
    from burdockgap.http1.response_limits import ResponseLimits
    from burdockgap.resources.byte_counter import ByteCounter


class ClientPool:
    """
    Reuses idle connections to one address and opens new ones on demand.

    :param address: IP address and port.
    :param connect_timeout_s: seconds allowed for a new connection.
    :param idle_s: seconds for which an unused connection stays usable.
    :param on_unexpected: called with a description of bytes or a
        response that no pending request asked for.
    :param limits: limits of a response, defaults of
        :class:`~burdockgap.http1.response_limits.ResponseLimits` if
        ``None``.
    :param counter: counts the bytes of all connections, ``None`` not to
        count them.
    :param on_opened: called with the seconds that a connection took to
        open, and whether it did.
    :ivar opened: connection attempts so far.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_counter",
        "_idle",
        "_idle_s",
        "_limits",
        "_loop",
        "_on_opened",
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
        limits: ResponseLimits | None = None,
        counter: ByteCounter | None = None,
        on_opened: Callable[[float, bool], None] = lambda *_: None,
    ) -> None:
        self._counter = counter
        self._on_opened = on_opened
        self._limits = limits
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_s = idle_s
        self._on_unexpected = on_unexpected
        self._idle: list[ClientConnection] = []
        self._loop = asyncio.get_running_loop()
        self.opened = 0

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection is usable."""
        now = self._loop.time()
        return any(conn.is_usable(now) for conn in self._idle)

    async def connect(self) -> None:
        """
        Open a connection unless an idle one is usable.

        :raises ExchangeError: if connecting fails.
        """
        if not self.has_idle:
            self._idle.append(await self._connect())

    async def exchange(
        self,
        data: bytes,
        *,
        body: bytes = b"",
        accepts: Callable[[Response], bool] | None = None,
        bodiless: bool = False,
        max_idle_s: float | None = None,
        read_timeout_s: float | None = None,
        request_id: str | None = None,
        before_send: Callable[[], None] | None = None,
        on_own_connection: bool = False,
    ) -> Response:
        """
        Send a request over an idle or a new connection.

        :param data: the encoded request, or its head.
        :param body: the body, if ``data`` is only the head.
        :param accepts: returns whether a response belongs to this
            request; one to an earlier request is skipped.
        :param bodiless: whether the response has no body, as for
            ``HEAD``.
        :param max_idle_s: seconds for which a reused connection may
            have been idle, ``None`` for the pool's limit alone.
        :param read_timeout_s: seconds without a received byte after
            which the exchange fails, ``None`` for no limit.
        :param request_id: the request's id, if it has one. A request
            that is repeated does not use a connection that carried it
            before, where a late second copy of its first response
            could not be told from the response to the repeat.
        :param before_send: called before the request is sent over a new
            connection, which may take time to open; what it raises ends
            the exchange.
        :param on_own_connection: whether to open a connection for this
            exchange alone, on which no response to another request can
            arrive.
        :raises ExchangeError: if connecting fails or no complete
            response is received.
        """
        conn = None
        if not on_own_connection:
            conn = self._take_idle(max_idle_s, request_id)
        if conn is None:
            conn = await self._connect()
            if before_send is not None:
                try:
                    before_send()
                except Exception:
                    self._idle.append(conn)
                    raise
        response = await conn.exchange(
            data,
            body=body,
            accepts=accepts,
            bodiless=bodiless,
            read_timeout_s=read_timeout_s,
            request_id=request_id,
        )
        if conn.reusable and not on_own_connection:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def _take_idle(
        self, max_idle_s: float | None, request_id: str | None
    ) -> ClientConnection | None:
        now = self._loop.time()
        passed_over: list[ClientConnection] = []
        taken = None
        while self._idle and taken is None:
            conn = self._idle.pop()
            recent = max_idle_s is None or now - conn.idle_since < max_idle_s
            if not recent or not conn.is_usable(now):
                conn.close()
            elif request_id is not None and request_id in conn.sent_ids:
                passed_over.append(conn)
            else:
                taken = conn
        self._idle += reversed(passed_over)
        return taken

    async def _connect(self) -> ClientConnection:
        self.opened += 1
        began = self._loop.time()
        is_open = False
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, conn = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._loop,
                        idle_s=self._idle_s,
                        on_unexpected=self._on_unexpected,
                        limits=self._limits,
                        counter=self._counter,
                    ),
                    *self.address,
                )
            is_open = True
        except TimeoutError as exc:
            raise ExchangeError(
                "connection attempt timed out", sent=False
            ) from exc
        except OSError as exc:
            raise ExchangeError(
                f"connection attempt failed: {exc}",
                sent=False,
                refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        finally:
            self._on_opened(self._loop.time() - began, is_open)
        return conn
