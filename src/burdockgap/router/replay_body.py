"""A request body that can be sent again while it is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_REPLAY_BYTES = 64 * 1024


class ReplayBody:
    """
    Hands a caller's body to one attempt after another.

    The first bytes are kept for later attempts. Once more than 64 KiB
    have been read the start is forgotten and no other attempt may be
    made, so memory stays bounded.

    :param source: the parts as the caller sends them. An attempt may be
        cancelled while it waits for one, after which the next attempt
        goes on from there; a generator would have ended.
    :ivar replayable: whether another attempt can read all of it.
    :ivar whole: whether the caller has sent all of it.
    """

    __slots__ = ("_kept", "_kept_bytes", "_source", "replayable", "whole")

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.replayable = True
        self.whole = False

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the whole body from its start."""
        for part in list(self._kept):
            yield part
        while (fresh := await self._next()) is not None:
            yield fresh

    async def peek(self, size: int) -> bytes:
        """Read ahead and return at most the first ``size`` bytes."""
        while self._kept_bytes < size:
            if await self._next() is None:
                break
        return b"".join(self._kept)[:size]

    def content(self) -> bytes | None:
        """Return the body if its end was met and its start is kept."""
        if not (self.whole and self.replayable):
            return None
        return b"".join(self._kept)

    async def _next(self) -> bytes | None:
        try:
            part = await anext(self._source, None)
        except Exception:
            self.replayable = False
            raise
        if part is None:
            self.whole = True
            return None
        self._keep(part)
        return part

    def _keep(self, part: bytes) -> None:
        if not self.replayable:
            return
        self._kept.append(part)
        self._kept_bytes += len(part)
        if self._kept_bytes > _REPLAY_BYTES:
            self.replayable = False
            self._kept.clear()
