"""Compression of messages that repeat the names of many members."""

from __future__ import annotations

import zlib

_FAST = 1
_MAX_BYTES = 4 * 1024 * 1024
"""Many times the control state of 730 members; what is larger is no
message of a daemon."""


def compress(data: bytes) -> bytes:
    """Return data that :func:`decompress` reads."""
    return zlib.compress(data, _FAST)


def decompress(data: bytes) -> bytes:
    """
    Return the data that was compressed.

    :raises ValueError: if the data is malformed, or larger than
        a message may be.
    """
    reader = zlib.decompressobj()
    try:
        result = reader.decompress(data, _MAX_BYTES)
    except (zlib.error, TypeError) as exc:
        raise ValueError(f"malformed compressed data: {exc}") from exc
    if not reader.eof:
        raise ValueError(
            "compressed data is cut off or has more than "
            f"{_MAX_BYTES} bytes when decompressed"
        )
    return result
