"""The interface of a time source."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """A source of elapsed and wall-clock time, both in seconds."""

    def now(self) -> float:
        """Return elapsed time, including time spent suspended."""
        ...

    def wall(self) -> float:
        """Return wall-clock time since the Unix epoch."""
        ...
