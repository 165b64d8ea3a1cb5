"""Framing of the protocol between daemons."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any

import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockgap.resources.memory_budget import MemoryBudget

CALL = 0
REPLY = 1
CANCEL = 2
PING = 3
PONG = 4
PART = 5
"""Part of a long CALL or REPLY; short frames may be sent in between."""

OFFER = 7
"""A long CALL or REPLY that the sender wants to send in parts."""

GRANT = 8
"""How many further bytes of an offered message may be sent."""

LONG_MESSAGE_KINDS = frozenset({GRANT, OFFER, PART})

REFUSED = 6
"""Never sent; stands for a frame for which there was no memory."""

_LENGTH = struct.Struct(">I")
_MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Above 64 MiB, the largest body that a configuration may allow."""
_UNCOUNTED_BYTES = 64 * 1024
"""Small frames are received even if the budget is used up, so that
calls with short replies still succeed."""
_BIN_32 = b"\xc6"
"""First byte of a msgpack byte string with a length of 32 bits."""
_MAX_SEARCHED = 24
"""Longer lists are headers, which hold no large byte strings; a call
has 17 values."""
_REFUSED_PREFIX_BYTES = 32
"""Holds the kind of a frame and the call's number and kind."""


class FrameError(Exception):
    """The received bytes are not valid frames of this protocol."""


def encode_frame(*parts: Any) -> bytes:
    """Return a frame: a length prefix and a msgpack list of values."""
    return b"".join(encode_pieces(*parts))


def encode_pieces(*parts: Any) -> list[bytes]:
    """
    Return the bytes of a frame in pieces.

    Large byte strings in the values are pieces by themselves, not
    copied.
    """
    pieces: list[bytes] = []
    _add_pieces(parts, pieces)
    size = sum(len(piece) for piece in pieces)
    return [_LENGTH.pack(size) + pieces[0], *pieces[1:]]


def _add_pieces(value: Any, pieces: list[bytes]) -> None:
    if isinstance(value, bytes) and len(value) > _UNCOUNTED_BYTES:
        pieces += [_BIN_32 + _LENGTH.pack(len(value)), value]
    elif isinstance(value, (list, tuple)) and _has_large_bytes(value):
        pieces.append(msgpack.Packer().pack_array_header(len(value)))
        for item in value:
            _add_pieces(item, pieces)
    else:
        pieces.append(msgpack.packb(value, use_bin_type=True))


def _has_large_bytes(values: list[Any] | tuple[Any, ...]) -> bool:
    return len(values) <= _MAX_SEARCHED and any(
        (isinstance(value, bytes) and len(value) > _UNCOUNTED_BYTES)
        or (isinstance(value, (list, tuple)) and _has_large_bytes(value))
        for value in values
    )


class FrameBuffer:
    """
    Splits a stream of received bytes into frames.

    A large frame is counted from its beginning on. One that does not
    fit is discarded as it arrives and replaced by a :data:`REFUSED`
    frame, so that the other messages of the connection still arrive.

    :param budget: bounds the incomplete frames of all buffers together,
        ``None`` for no bound.
    """

    __slots__ = ("_budget", "_charge", "_data", "_discarded_bytes")

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = budget
        self._charge = budget.charge("frames") if budget else None
        self._data = bytearray()
        self._discarded_bytes = 0

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """
        Append received bytes and yield each frame that is complete.

        :raises FrameError: if the bytes are not valid frames, or one is
            larger than the budget.
        """
        self._data += data
        while True:
            self._discard()
            if len(self._data) < _LENGTH.size or self._discarded_bytes:
                return
            (size,) = _LENGTH.unpack_from(self._data)
            if size > _MAX_FRAME_BYTES:
                raise FrameError(
                    f"frame of {size} bytes exceeds the size limit"
                )
            end = _LENGTH.size + size
            if not self._is_counted(size):
                if len(self._data) < _LENGTH.size + _REFUSED_PREFIX_BYTES:
                    return
                frame = _decode_prefix(self._data)
                self._discarded_bytes = end
            elif len(self._data) < end:
                return
            else:
                with memoryview(self._data) as view:
                    frame = _decode(view[_LENGTH.size : end])
                del self._data[:end]
                if self._charge is not None:
                    self._charge.release()
            yield frame

    def close(self) -> None:
        """Discard an incomplete frame."""
        self._data.clear()
        if self._charge is not None:
            self._charge.release()

    def _discard(self) -> None:
        size = min(self._discarded_bytes, len(self._data))
        del self._data[:size]
        self._discarded_bytes -= size

    def _is_counted(self, size: int) -> bool:
        """Count a frame unless it is small; return whether it fits."""
        if self._charge is None or self._budget is None:
            return True
        if size <= _UNCOUNTED_BYTES or self._charge.size:
            return True
        if size > self._budget.max_bytes:
            raise FrameError(
                f"frame of {size} bytes exceeds the memory limit, "
                f"{self._budget.max_bytes} bytes"
            )
        return self._charge.grow(size)


def _decode_prefix(data: bytearray) -> list[Any]:
    """Return the ``REFUSED`` frame for the one that begins here."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(data[_LENGTH.size : _LENGTH.size + _REFUSED_PREFIX_BYTES])
    try:
        unpacker.read_array_header()
        kind, call_id, call_kind = (
            unpacker.unpack(),
            unpacker.unpack(),
            unpacker.unpack() if data[_LENGTH.size + 1] == CALL else None,
        )
    except (ValueError, TypeError, msgpack.OutOfData) as exc:
        raise FrameError(f"frame is not valid msgpack: {exc}") from exc
    return [REFUSED, kind, call_id, call_kind]


def _decode(body: memoryview) -> list[Any]:
    try:
        frame = msgpack.unpackb(body, raw=False)
    except (ValueError, TypeError, RecursionError) as exc:
        # TypeError: a map with a key that is not hashable.
        raise FrameError(f"frame is not valid msgpack: {exc}") from exc
    if not isinstance(frame, list) or not frame:
        raise FrameError("frame is not a non-empty list")
    return frame
