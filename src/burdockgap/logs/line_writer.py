"""Structured log lines, written without blocking."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_QUEUED_LINES = 4000
"""Lines queued for a slow reader; about 1 MB."""
_MAX_LINES_PER_S = 2000
"""Limits the volume; five times a daemon's share of requests."""
_MAX_CHUNK_BYTES = 65536


class LineWriter:
    """
    Writes JSON lines to a descriptor, with limited rate and memory.

    Lines above the limits are dropped and counted.

    :param fd: the descriptor, which is set to non-blocking mode.
    :param name: name of the machine, part of every line.
    :param count: called with the event of each line, also of a dropped
        one.
    :ivar dropped: lines dropped so far.
    """

    __slots__ = (
        "_count",
        "_fd",
        "_lines",
        "_name",
        "_partial",
        "_current_second",
        "_lines_this_second",
        "dropped",
    )

    def __init__(
        self, *, fd: int, name: str, count: Callable[[str], None]
    ) -> None:
        self._count = count
        self._fd = fd
        self._name = name
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """
        Queue one line, or drop it above the limits.

        :param event: name of the event.
        :param fields: the event's inputs and outcome, encodable as
            JSON.
        """
        self._count(event)
        now = time.time()
        if int(now) != self._current_second:
            self._current_second, self._lines_this_second = int(now), 0
        self._lines_this_second += 1
        is_full = len(self._lines) >= _MAX_QUEUED_LINES
        if is_full or self._lines_this_second > _MAX_LINES_PER_S:
            self.dropped += 1
            return
        line = {"at": round(now, 4), "node": self._name, "event": event}
        line.update(fields)
        self._lines.append(
            json.dumps(line, default=str, separators=(",", ":")).encode()
            + b"\n"
        )

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._partial or self._lines:
            data = self._partial or self._next_chunk()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                # The reader has closed its end.
                self.dropped += data.count(b"\n")
                self._partial = b""
                return
            self._partial = data[written:]

    def _next_chunk(self) -> bytes:
        chunk: list[bytes] = []
        size = 0
        while self._lines and size < _MAX_CHUNK_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b"".join(chunk)
