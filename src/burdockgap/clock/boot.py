"""The clock of the machine."""

from __future__ import annotations

import time


class BootClock:
    """Elapsed time since boot, including time spent suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
