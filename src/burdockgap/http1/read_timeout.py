"""A timeout that each received byte starts again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class ReadTimeout:
    """
    Reports that nothing was received for some time.

    :param loop: the event loop.
    :param seconds: longest time without a received byte.
    :param on_expired: called once it has passed.
    """

    __slots__ = ("_heard_at", "_loop", "_on_expired", "_seconds", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seconds: float,
        on_expired: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._seconds = seconds
        self._on_expired = on_expired
        self._heard_at = loop.time()
        self._timer = loop.call_later(seconds, self._check)

    def note_bytes(self) -> None:
        """Note that bytes were received."""
        self._heard_at = self._loop.time()

    def cancel(self) -> None:
        """Do not report anything from now on."""
        self._timer.cancel()

    def _check(self) -> None:
        left_s = self._heard_at + self._seconds - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check)
        else:
            self._on_expired()
