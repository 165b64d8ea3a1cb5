"""Responses of other processes, read up to a limit."""

from __future__ import annotations

import httpx


async def read_limited(resp: httpx.Response, max_bytes: int) -> bytes:
    """
    Read a response's body.

    :param max_bytes: maximum size of the body after decoding.
    :raises httpx.RemoteProtocolError: if the body is longer.
    """
    body = bytearray()
    async for part in resp.aiter_bytes():
        body += part
        if len(body) > max_bytes:
            raise httpx.RemoteProtocolError(
                f"response body exceeds {max_bytes} bytes"
            )
    return bytes(body)
