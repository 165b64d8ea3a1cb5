"""A connection pool for one target."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import httpx

from burdockgap.tls.verification import verification

if TYPE_CHECKING:
    from collections.abc import Iterator


class Transports:
    """
    A pool of transports with one connection each, last used first.

    The HTTP library's own pool scans all of its connections for each
    request. Here a request only accesses the connection that it uses.

    :param url: base URL of the target.
    :param keepalive_s: idle seconds until a connection is replaced.
    :ivar is_closed: whether the pool has been closed permanently.
    """

    __slots__ = ("_all", "is_closed", "_idle", "_limits", "_url")

    def __init__(self, url: str, keepalive_s: float) -> None:
        self._url = url
        self._limits = httpx.Limits(
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=keepalive_s,
        )
        self._all: set[httpx.AsyncHTTPTransport] = set()
        self._idle: list[httpx.AsyncHTTPTransport] = []
        self.is_closed = False

    @contextmanager
    def acquire(self) -> Iterator[httpx.AsyncHTTPTransport]:
        """
        Acquire a transport for exclusive use while the context lasts.

        The response must have ended or been closed when the context
        ends.
        """
        transport = self._idle.pop() if self._idle else self._open()
        try:
            yield transport
        finally:
            if not self.is_closed:
                self._idle.append(transport)

    def _open(self) -> httpx.AsyncHTTPTransport:
        transport = httpx.AsyncHTTPTransport(
            verify=verification(self._url),
            trust_env=False,
            limits=self._limits,
        )
        self._all.add(transport)
        return transport

    async def aclose(self) -> None:
        """Close all connections, including those in use."""
        self.is_closed = True
        self._idle.clear()
        for transport in self._all:
            await transport.aclose()
