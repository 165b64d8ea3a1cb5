"""The request body of a caller and the end of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from burdockgap.http.caller_gone import CallerGone
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class CallerBody:
    """
    Reads the events of one ASGI request and yields its body's chunks.

    An iterator class and not an async generator, since cancelling a
    read would end a generator.

    :param receive: the ASGI ``receive`` callable.
    :param idle_timeout_s: maximum time between body chunks.
    """

    __slots__ = ("_ended", "_disconnected", "_receive", "_idle_timeout_s")

    def __init__(
        self,
        receive: Callable[[], Awaitable[dict[str, Any]]],
        idle_timeout_s: float,
    ) -> None:
        self._receive = receive
        self._idle_timeout_s = idle_timeout_s
        self._ended = anyio.Event()
        self._disconnected = False

    def __aiter__(self) -> CallerBody:
        return self

    async def __anext__(self) -> bytes:
        """
        Return the next non-empty chunk.

        :raises CallerGone: if the caller disconnects before the end.
        :raises Refusal: ``not-run`` if the idle timeout expires.
        """
        while not self._ended.is_set():
            event = await self._next_event()
            if not event.get("more_body", False):
                self._ended.set()
            if event.get("body"):
                chunk: bytes = event["body"]
                return chunk
        raise StopAsyncIteration

    async def wait_disconnect(self) -> None:
        """Wait for the end of the body, then for the disconnect."""
        await self._ended.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _next_event(self) -> dict[str, Any]:
        event: dict[str, Any] | None = None
        if not self._disconnected:
            with anyio.move_on_after(self._idle_timeout_s):
                event = await self._receive()
        if event is None:
            detail = "the body stopped arriving; send it again"
            raise Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        if event["type"] == "http.disconnect":
            self._disconnected = True
            raise CallerGone
        return event
