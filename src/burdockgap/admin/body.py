"""Reading of request bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.admin.api_error import ApiError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_BODY_BYTES = 1 << 20


async def read_body(receive: Callable[[], Awaitable[Any]]) -> bytes:
    """
    Read the whole body of a request.

    :raises ApiError: with 413 if it is too large, with 400 if the
        client disconnects before its end.
    """
    body = bytearray()
    more = True
    while more:
        event = await receive()
        if event["type"] != "http.request":
            raise ApiError(400, "the body ended early; send it again")
        body += event.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            raise ApiError(
                413, f"the body is larger than {MAX_BODY_BYTES} bytes"
            )
        more = event.get("more_body", False)
    return bytes(body)
