"""Announces a stand-in target to its daemon."""

from __future__ import annotations

from typing import Any

import anyio
import httpx

_RETRY_INTERVAL_S = 0.1
_ANNOUNCE_INTERVAL_S = 5.0
_REQUEST_TIMEOUT_S = 1.0


class TargetAnnouncer:
    """
    Registers a target with the daemon and reports its shutdown.

    :param admin_url: base URL of the daemon's administration API.
    :param token: bearer token, "" for none.
    :param announcement: body of the announcement.
    """

    __slots__ = ("_admin_url", "_announcement", "_headers", "_leaving")

    def __init__(
        self, *, admin_url: str, token: str, announcement: dict[str, Any]
    ) -> None:
        self._admin_url = admin_url.rstrip("/")
        self._announcement = announcement
        self._leaving = False
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    async def announce(self) -> None:
        """
        Announce the target periodically until it leaves.

        An announcement that fails is retried sooner.
        """
        async with self._client() as client:
            while not self._leaving:
                accepted = await self._post(
                    client, "announce", self._announcement
                )
                await anyio.sleep(
                    _ANNOUNCE_INTERVAL_S if accepted else _RETRY_INTERVAL_S
                )

    async def announce_leaving(self) -> None:
        """Report the coming shutdown, with retries until accepted."""
        self._leaving = True
        notice = {"boot_id": self._announcement["boot_id"]}
        async with self._client() as client:
            while not await self._post(client, "leaving", notice):
                await anyio.sleep(_RETRY_INTERVAL_S)

    def _client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            trust_env=False, timeout=_REQUEST_TIMEOUT_S, headers=self._headers
        )

    async def _post(
        self, client: httpx.AsyncClient, endpoint: str, fields: dict[str, Any]
    ) -> bool:
        url = f"{self._admin_url}/v1/target/{endpoint}"
        try:
            resp = await client.post(url, json=fields)
        except httpx.HTTPError:
            return False
        return resp.is_success
