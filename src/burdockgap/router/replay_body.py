"""A request body that further attempts can read again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_REPLAY_MAX_BYTES = 64 * 1024


class ReplayBody:
    """
    Passes a caller's body to one attempt after another.

    The parts that were read are buffered for further attempts. To bound
    the memory, the buffer is dropped once more than 64 KiB have been
    read; no further attempt is possible then.

    :param source: the parts as the caller sends them. If an attempt is
        cancelled while it waits for a part, the next attempt continues
        to read from the source. A generator is not suitable, since it
        ends when it is cancelled.
    :ivar replayable: whether another attempt can read the whole body.
    :ivar whole: whether the body has been read to its end.
    """

    __slots__ = (
        "_buffered_parts",
        "_buffered_bytes",
        "_source",
        "replayable",
        "whole",
    )

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._buffered_parts: list[bytes] = []
        self._buffered_bytes = 0
        self.replayable = True
        self.whole = False

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the whole body from its start."""
        for part in list(self._buffered_parts):
            yield part
        while (next_part := await self._read_part()) is not None:
            yield next_part

    async def peek(self, size: int) -> bytes:
        """Read ahead and return at most the first ``size`` bytes."""
        while self._buffered_bytes < size:
            if await self._read_part() is None:
                break
        return b"".join(self._buffered_parts)[:size]

    def content(self) -> bytes | None:
        """Return the body if all of it was read and is buffered."""
        if not (self.whole and self.replayable):
            return None
        return b"".join(self._buffered_parts)

    async def _read_part(self) -> bytes | None:
        try:
            part = await anext(self._source, None)
        except Exception:
            self.replayable = False
            raise
        if part is None:
            self.whole = True
            return None
        self._buffer(part)
        return part

    def _buffer(self, part: bytes) -> None:
        if not self.replayable:
            return
        self._buffered_parts.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes > _REPLAY_MAX_BYTES:
            self.replayable = False
            self._buffered_parts.clear()
