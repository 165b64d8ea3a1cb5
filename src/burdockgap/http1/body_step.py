"""The steps in which a body of unknown length is counted."""

from __future__ import annotations

_MIN_STEP_BYTES = 4096
"""Counting each chunk of one byte would cost more than receiving it."""
_STEP_SHARE = 8
"""A growing array allocates an eighth more than it holds."""


def body_step(size: int, counted: int) -> int:
    """
    Return how many more bytes to count for a body, 0 for none.

    :param size: size of what has arrived.
    :param counted: bytes that are counted for it.
    """
    if size <= counted:
        return 0
    return size - counted + max(size // _STEP_SHARE, _MIN_STEP_BYTES)
