"""Bytes on TCP connections, as counted by the kernel."""

from __future__ import annotations

import re
import subprocess
from collections import Counter
from typing import TYPE_CHECKING

from standins.cluster.server import PEER_PORT

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG_PORT = 5050
_PID_PATTERN = re.compile(r"pid=(\d+)")
_SENT_PATTERN = re.compile(r"bytes_sent:(\d+)")
_RECEIVED_PATTERN = re.compile(r"bytes_received:(\d+)")
_USE_BY_PORT = {LOG_PORT: "log", PEER_PORT: "peer"}


class TcpTraffic:
    """
    Byte counts of open TCP connections.

    :ivar sent: bytes sent, by pid, use and pair of addresses.
    :ivar received: bytes received, by the same key.
    """

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent: Counter[tuple[int, str, str]] = Counter()
        self.received: Counter[tuple[int, str, str]] = Counter()


def tcp_traffic(pids: Iterable[int]) -> TcpTraffic:
    """Return byte counts of the processes' open connections."""
    completed = subprocess.run(
        ["ss", "-tinpH"], capture_output=True, text=True, check=True
    )
    wanted_pids = set(pids)
    counts = TcpTraffic()
    lines = completed.stdout.splitlines()
    for address_line, info_line in zip(lines[::2], lines[1::2], strict=False):
        _add_connection(counts, wanted_pids, address_line, info_line)
    return counts


def bytes_between(
    before: TcpTraffic, after: TcpTraffic, pid: int, use: str
) -> tuple[int, int]:
    """
    Return the bytes a process sent and received between two counts.

    Bytes on connections that were closed in between aren't counted.

    :param use: ``log`` or ``peer``.
    :return: bytes sent, bytes received.
    """
    return (
        _bytes_added(before.sent, after.sent, pid, use),
        _bytes_added(before.received, after.received, pid, use),
    )


def _add_connection(
    counts: TcpTraffic,
    wanted_pids: set[int],
    address_line: str,
    info_line: str,
) -> None:
    pid = _PID_PATTERN.search(address_line)
    if pid is None or int(pid.group(1)) not in wanted_pids:
        return
    local, remote = address_line.split()[3:5]
    use = _USE_BY_PORT.get(_port(remote)) or _USE_BY_PORT.get(_port(local))
    if use is None:
        return
    key = (int(pid.group(1)), use, f"{local} {remote}")
    counts.sent[key] = _matched_int(_SENT_PATTERN, info_line)
    counts.received[key] = _matched_int(_RECEIVED_PATTERN, info_line)


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _matched_int(pattern: re.Pattern[str], text: str) -> int:
    match = pattern.search(text)
    return int(match.group(1)) if match else 0


def _bytes_added(
    before: Counter[tuple[int, str, str]],
    after: Counter[tuple[int, str, str]],
    pid: int,
    use: str,
) -> int:
    return sum(
        count - before.get(key, 0)
        for key, count in after.items()
        if key[:2] == (pid, use)
    )
