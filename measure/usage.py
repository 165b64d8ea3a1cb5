"""Processor time and memory of a process, as counted by the kernel."""

from __future__ import annotations

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024
_UTIME_INDEX_AFTER_NAME = 11


class Usage:
    """
    Processor time and memory of one process.

    :param cpu_s: user and system time.
    :param pss_bytes: proportional set size: each shared page is divided
        by the number of processes that share it.
    :param private_bytes: memory that no other process shares.
    """

    __slots__ = ("cpu_s", "private_bytes", "pss_bytes")

    def __init__(
        self, *, cpu_s: float, pss_bytes: int, private_bytes: int
    ) -> None:
        self.cpu_s = cpu_s
        self.pss_bytes = pss_bytes
        self.private_bytes = private_bytes


def cpu_seconds(pid: int) -> float:
    """Return a process's user and system time since its start."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    utime, stime = fields[
        _UTIME_INDEX_AFTER_NAME : _UTIME_INDEX_AFTER_NAME + 2
    ]
    return (int(utime) + int(stime)) / _TICKS_PER_S


def read_usage(pid: int) -> Usage:
    """Return a process's processor time and current memory."""
    sizes: dict[str, int] = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        name, _, rest = line.partition(":")
        if rest.endswith("kB"):
            sizes[name] = int(rest.split()[0]) * _KIB
    return Usage(
        cpu_s=cpu_seconds(pid),
        pss_bytes=sizes["Pss"],
        private_bytes=sizes["Private_Clean"] + sizes["Private_Dirty"],
    )
