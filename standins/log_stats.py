"""Call and byte counters of the stand-in log."""

from __future__ import annotations


class LogStats:
    """
    Counters since the process started.

    :ivar appends: number of appends that took effect.
    :ivar reads: number of reads answered with a page.
    :ivar bytes_in: total size of the appended records.
    :ivar bytes_out: total size of the encoded pages.
    """

    __slots__ = ("appends", "bytes_in", "bytes_out", "reads")

    def __init__(self) -> None:
        self.appends = 0
        self.reads = 0
        self.bytes_in = 0
        self.bytes_out = 0
