"""Detection of a caller that is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

_CHECK_INTERVAL_S = 0.5
_SILENCE_TIMEOUT_S = 3.0
"""A live caller pings several times a second."""


class SilenceWatch:
    """
    Reports that nothing was received while something is awaited.

    :param loop: the event loop.
    :param is_waiting: returns whether the caller has to send something.
    :param on_silent: called when it has sent nothing for too long.
    """

    __slots__ = ("_heard_at", "_is_waiting", "_loop", "_on_silent", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_waiting: Callable[[], bool],
        on_silent: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._is_waiting = is_waiting
        self._on_silent = on_silent
        self._heard_at = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def note_received(self) -> None:
        """Note that bytes were received."""
        self._heard_at = self._loop.time()

    def start(self) -> None:
        """Watch until nothing is awaited any more."""
        if self._timer is None and self._is_waiting():
            self._timer = self._loop.call_later(_CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Report nothing from now on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        silence_s = self._loop.time() - self._heard_at
        if self._is_waiting() and silence_s > _SILENCE_TIMEOUT_S:
            self._on_silent()
        else:
            self.start()
