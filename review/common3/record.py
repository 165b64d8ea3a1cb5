"""The record of a script: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """
    Writes one line for each event.

    :param path: the file, which is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write an event with the time since the start."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        after_s = time.monotonic() - self._began
        self._file.write(f"{after_s:8.3f} {event} {text}\n")
        self._file.flush()
