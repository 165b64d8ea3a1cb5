"""The body of a caller's request and the end of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from burdockgap.http.caller_gone import CallerGone
from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class CallerBody:
    """
    Reads the events of one ASGI request and yields its body's parts.

    It is no generator, since those end when they are cancelled.

    :param receive: the ASGI callable.
    :param silence_s: longest pause between parts of the body.
    """

    __slots__ = ("_ended", "_gone", "_receive", "_silence_s")

    def __init__(
        self,
        receive: Callable[[], Awaitable[dict[str, Any]]],
        silence_s: float,
    ) -> None:
        self._receive = receive
        self._silence_s = silence_s
        self._ended = anyio.Event()
        self._gone = False

    def __aiter__(self) -> CallerBody:
        return self

    async def __anext__(self) -> bytes:
        """
        Return the next part that is not empty.

        :raises CallerGone: if the caller stopped in the middle.
        :raises Refusal: if it sends nothing for too long.
        """
        while not self._ended.is_set():
            event = await self._next_event()
            if not event.get("more_body", False):
                self._ended.set()
            if event.get("body"):
                part: bytes = event["body"]
                return part
        raise StopAsyncIteration

    async def wait_gone(self) -> None:
        """Wait, after the body's end, for the end of the connection."""
        await self._ended.wait()
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def _next_event(self) -> dict[str, Any]:
        event: dict[str, Any] | None = None
        if not self._gone:
            with anyio.move_on_after(self._silence_s):
                event = await self._receive()
        if event is None:
            detail = "the body stopped arriving; send it again"
            raise Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        if event["type"] == "http.disconnect":
            self._gone = True
            raise CallerGone
        return event
