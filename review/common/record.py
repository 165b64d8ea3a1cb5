"""The record of a script: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """
    Writes lines with the time since the start.

    :param path: the file, which is replaced.
    """

    __slots__ = ("_file", "_started_at")

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")

    def result(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
