"""A request body whose start can be read before it is forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.gate.fingerprint import BODY_START_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class PeekedBody:
    """
    A body stream with a look-ahead at its start.

    :param body: the body's chunks as they arrive.
    """

    __slots__ = ("_body", "_parts")

    def __init__(self, body: AsyncIterator[bytes]) -> None:
        self._body = body
        self._parts: list[bytes] = []

    async def peek(self) -> bytes:
        """Return the first ``BODY_START_BYTES``, fewer at the end."""
        size = 0
        async for part in self._body:
            self._parts.append(part)
            size += len(part)
            if size >= BODY_START_BYTES:
                break
        return b"".join(self._parts)[:BODY_START_BYTES]

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the whole body, including the part that was peeked."""
        for part in self._parts:
            yield part
        self._parts.clear()
        async for part in self._body:
            yield part
