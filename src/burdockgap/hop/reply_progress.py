"""How far the reply to one call has arrived."""

from __future__ import annotations

import asyncio


class ReplyProgress:
    """
    Measures how long a reply has made no progress.

    :ivar heard_at: when the call was sent or the reply's last bytes
        arrived, on the event loop's clock; ``None`` before the call.
    """

    __slots__ = ("_loop", "heard_at")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.heard_at: float | None = None

    def note(self) -> None:
        """Note that the call was sent or that bytes have arrived."""
        self.heard_at = self._loop.time()

    @property
    def stalled_s(self) -> float:
        """Seconds without progress, 0 before the call."""
        if self.heard_at is None:
            return 0.0
        return self._loop.time() - self.heard_at
