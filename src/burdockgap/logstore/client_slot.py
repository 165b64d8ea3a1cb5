"""An HTTP client that is replaced after a failure."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import httpx

from burdockgap.tls.verification import verification

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class ClientSlot:
    """
    Holds one client; a failed or cancelled call retires it.

    The next call then opens a new connection, even where the old ones
    have gone silent without being closed. A retired client is closed
    once its other calls have ended.

    :param url: base URL of the server.
    :param timeout: the timeouts of each call.
    """

    __slots__ = ("_client", "_timeout", "_url", "_users")

    def __init__(self, url: str, timeout: httpx.Timeout) -> None:
        self._url = url
        self._timeout = timeout
        self._client: httpx.AsyncClient | None = None
        self._users: Counter[httpx.AsyncClient] = Counter()

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncClient]:
        """Lend the client for one call."""
        client = self._current()
        self._users[client] += 1
        try:
            yield client
        except BaseException:
            self._retire(client)
            raise
        finally:
            self._users[client] -= 1
            await self._close_if_done(client)

    async def close(self) -> None:
        """Close the client unless calls are using it."""
        client = self._client
        self._client = None
        if client is not None:
            await self._close_if_done(client)

    def _current(self) -> httpx.AsyncClient:
        if self._client is None:
            self._client = httpx.AsyncClient(
                base_url=self._url,
                verify=verification(self._url),
                timeout=self._timeout,
                trust_env=False,
            )
        return self._client

    def _retire(self, client: httpx.AsyncClient) -> None:
        if self._client is client:
            self._client = None

    async def _close_if_done(self, client: httpx.AsyncClient) -> None:
        if client is self._client or self._users[client]:
            return
        del self._users[client]
        with anyio.CancelScope(shield=True):
            await client.aclose()
