"""Framing of the protocol between daemons."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.http1.byte_budget import ByteBudget

CALL = 0
REPLY = 1
CANCEL = 2
PING = 3
PONG = 4
PART = 5
"""Part of a long REPLY frame; shorter frames may be sent in between."""

_LENGTH = struct.Struct(">I")
_MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Above 64 MiB, the largest body that a configuration may allow."""
_UNCOUNTED_BYTES = 64 * 1024
"""Small frames are received even if the budget is used up, so that
calls with short replies still succeed."""


class FrameError(Exception):
    """The received bytes are not valid frames of this protocol."""


def encode_frame(*parts: Any) -> bytes:
    """Return a frame: a length prefix and a msgpack list of values."""
    body: bytes = msgpack.packb(parts, use_bin_type=True)
    return _LENGTH.pack(len(body)) + body


class FrameBuffer:
    """
    Splits a stream of received bytes into frames.

    :param budget: bounds the incomplete frames of all buffers together,
        ``None`` for no bound.
    """

    __slots__ = ("_budget", "_counted", "_data")

    def __init__(self, budget: ByteBudget | None = None) -> None:
        self._budget = budget
        self._counted = 0
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """
        Append received bytes and yield each frame that is complete.

        :raises FrameError: if the bytes are not valid frames, or the
            budget is used up.
        """
        self._data += data
        yield from self._complete_frames()
        self._count()

    def close(self) -> None:
        """Discard an incomplete frame."""
        self._data.clear()
        self._count()

    def _count(self) -> None:
        if self._budget is None:
            return
        counted = max(len(self._data) - _UNCOUNTED_BYTES, 0)
        growth = counted - self._counted
        if growth <= 0:
            self._budget.give_back(-growth)
        elif not self._budget.take(growth):
            raise FrameError(
                "incomplete frames exceed the memory limit, "
                f"{self._budget.max_bytes} bytes"
            )
        self._counted = counted

    def _complete_frames(self) -> Iterator[list[Any]]:
        while len(self._data) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data)
            if size > _MAX_FRAME_BYTES:
                raise FrameError(
                    f"frame of {size} bytes exceeds the size limit"
                )
            end = _LENGTH.size + size
            if len(self._data) < end:
                return
            body = bytes(self._data[_LENGTH.size : end])
            del self._data[:end]
            yield _decode(body)


def _decode(body: bytes) -> list[Any]:
    try:
        frame = msgpack.unpackb(body, raw=False)
    except (ValueError, TypeError, RecursionError) as exc:
        # TypeError: a map with a key that is not hashable.
        raise FrameError(f"frame is not valid msgpack: {exc}") from exc
    if not isinstance(frame, list) or not frame:
        raise FrameError("frame is not a non-empty list")
    return frame
