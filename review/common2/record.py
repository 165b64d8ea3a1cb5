"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """
    Writes one line for each event, with its time.

    :param path: the file to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> float:
        """Write an event; return its time."""
        now = self.now
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:8.3f} {event} {text}\n")
        self._file.flush()
        return now
