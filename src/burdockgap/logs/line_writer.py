"""Log lines that never make their writer wait."""

from __future__ import annotations

import json
import os
import time
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

_MOST_LINES = 4000
"""Lines held for a reader that is slow; about 1 MB."""
_LINES_PER_S = 2000
"""Bound on the volume; five times a daemon's share of requests."""
_WRITE_BYTES = 65536


class LineWriter:
    """
    Writes structured lines to a descriptor, bounded in rate and memory.

    Lines beyond the bounds are dropped and counted.

    :param fd: the descriptor.
    :param name: name of the process, part of every line.
    :param count: told each line's event, that of a dropped one too.
    :ivar dropped: lines dropped so far.
    """

    __slots__ = (
        "_count",
        "_fd",
        "_lines",
        "_name",
        "_partial",
        "_second",
        "_this_second",
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
        self._second = 0
        self._this_second = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """
        Queue one line.

        :param event: what happened.
        :param fields: its inputs and outcome; plain values.
        """
        self._count(event)
        now = time.time()
        if int(now) != self._second:
            self._second, self._this_second = int(now), 0
        self._this_second += 1
        is_full = len(self._lines) >= _MOST_LINES
        if is_full or self._this_second > _LINES_PER_S:
            self.dropped += 1
            return
        line = {"at": round(now, 4), "node": self._name, "event": event}
        line.update(fields)
        self._lines.append(
            json.dumps(line, default=str, separators=(",", ":")).encode()
            + b"\n"
        )

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._partial or self._lines:
            data = self._partial or self._next_chunk()
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                self._partial = data
                return
            except OSError:
                # Nobody reads the lines any more.
                self.dropped += data.count(b"\n")
                self._partial = b""
                return
            self._partial = data[written:]

    def _next_chunk(self) -> bytes:
        chunk: list[bytes] = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b"".join(chunk)
