"""The body of a caller's request and the end of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from burdockgap.http.caller_gone import CallerGone

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable


class CallerBody:
    """
    Reads the events of one ASGI request.

    :param receive: the ASGI callable.
    """

    __slots__ = ("_ended", "_receive")

    def __init__(
        self, receive: Callable[[], Awaitable[dict[str, Any]]]
    ) -> None:
        self._receive = receive
        self._ended = anyio.Event()

    async def parts(self) -> AsyncIterator[bytes]:
        """
        Yield the body as it arrives.

        :raises CallerGone: if the caller stopped in the middle.
        """
        more = True
        while more:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                raise CallerGone
            more = event.get("more_body", False)
            if event.get("body"):
                yield event["body"]
        self._ended.set()

    async def wait_gone(self) -> None:
        """Wait, after the body's end, for the end of the connection."""
        await self._ended.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass
