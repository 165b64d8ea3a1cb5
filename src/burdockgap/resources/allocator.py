"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 16 * 1024 * 1024
_TRIM_THRESHOLD_BYTES = 16 * 1024 * 1024
"""With 1 and 4 MiB, responses of 4 MiB took twice the CPU time, as each
got new pages from the kernel."""


def return_freed_memory() -> bool:
    """
    Make the allocator return the memory of large messages when freed.

    By default, glibc raises both thresholds with the sizes that are
    freed, up to 32 and 64 MiB, and keeps as much for later use.

    :return: whether the C library has these settings.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    return bool(
        mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        and mallopt(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES)
    )
