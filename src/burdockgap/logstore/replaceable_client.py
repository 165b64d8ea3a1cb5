"""An HTTP client that is replaced after a failed call."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import httpx

from burdockgap.tls.verification import verification

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class ReplaceableClient:
    """
    Holds one HTTP client; a failed or cancelled call discards it.

    The next call opens a new connection, even if the old connections
    stopped responding without being closed. A discarded client is
    closed once its other calls have ended.

    :param url: base URL of the server.
    :param timeout: timeouts of each call.
    """

    __slots__ = ("_client", "_timeout", "_url", "_active_calls")

    def __init__(self, url: str, timeout: httpx.Timeout) -> None:
        self._url = url
        self._timeout = timeout
        self._client: httpx.AsyncClient | None = None
        self._active_calls: Counter[httpx.AsyncClient] = Counter()

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncClient]:
        """Yield the client for one call; a failed call discards it."""
        client = self._current()
        self._active_calls[client] += 1
        try:
            yield client
        except BaseException:
            self._discard(client)
            raise
        finally:
            self._active_calls[client] -= 1
            await self._close_if_unused(client)

    async def close(self) -> None:
        """Drop the client; close it now if no call is using it."""
        client = self._client
        self._client = None
        if client is not None:
            await self._close_if_unused(client)

    def _current(self) -> httpx.AsyncClient:
        if self._client is None:
            self._client = httpx.AsyncClient(
                base_url=self._url,
                verify=verification(self._url),
                timeout=self._timeout,
                trust_env=False,
            )
        return self._client

    def _discard(self, client: httpx.AsyncClient) -> None:
        if self._client is client:
            self._client = None

    async def _close_if_unused(self, client: httpx.AsyncClient) -> None:
        if client is self._client or self._active_calls[client]:
            return
        del self._active_calls[client]
        with anyio.CancelScope(shield=True):
            await client.aclose()
