"""Counts of the calls to the stand-in log."""

from __future__ import annotations


class LogStats:
    """
    Calls and bytes since the start.

    :ivar appends: appends that took effect.
    :ivar reads: reads that were answered.
    :ivar bytes_in: bytes of the appended records.
    :ivar bytes_out: bytes of the pages sent.
    """

    __slots__ = ("appends", "bytes_in", "bytes_out", "reads")

    def __init__(self) -> None:
        self.appends = 0
        self.reads = 0
        self.bytes_in = 0
        self.bytes_out = 0
