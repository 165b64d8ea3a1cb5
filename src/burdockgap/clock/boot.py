"""The clock of the operating system."""

from __future__ import annotations

import time


class BootClock:
    """Measures elapsed time since boot, including suspended time."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
