"""Bytes on TCP connections, as the kernel counts them."""

from __future__ import annotations

import re
import subprocess
from collections import Counter
from typing import TYPE_CHECKING

from standins.cluster.server import PEER_PORT

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG_PORT = 5050
_PID = re.compile(r"pid=(\d+)")
_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")
_USES = {LOG_PORT: "log", PEER_PORT: "peer"}


class Traffic:
    """
    Bytes of each open connection, by owner and use.

    :ivar sent: bytes sent, by pid, use and ends of the connection.
    :ivar received: bytes received, likewise.
    """

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent: Counter[tuple[int, str, str]] = Counter()
        self.received: Counter[tuple[int, str, str]] = Counter()


def traffic(pids: Iterable[int]) -> Traffic:
    """Return the bytes so far on the open connections of processes."""
    done = subprocess.run(
        ["ss", "-tinpH"], capture_output=True, text=True, check=True
    )
    wanted = set(pids)
    found = Traffic()
    lines = done.stdout.splitlines()
    for head, info in zip(lines[::2], lines[1::2], strict=False):
        _add(found, wanted, head, info)
    return found


def bytes_between(
    before: Traffic, after: Traffic, pid: int, use: str
) -> tuple[int, int]:
    """
    Return what a process sent and received on open connections.

    What went over connections that were closed meanwhile is missing.

    :param use: ``log`` or ``peer``.
    """
    return (
        _grown(before.sent, after.sent, pid, use),
        _grown(before.received, after.received, pid, use),
    )


def _add(found: Traffic, wanted: set[int], head: str, info: str) -> None:
    pid = _PID.search(head)
    if pid is None or int(pid.group(1)) not in wanted:
        return
    local, remote = head.split()[3:5]
    use = _USES.get(_port(remote)) or _USES.get(_port(local))
    if use is None:
        return
    key = (int(pid.group(1)), use, f"{local} {remote}")
    found.sent[key] = _number(_SENT, info)
    found.received[key] = _number(_RECEIVED, info)


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _number(pattern: re.Pattern[str], text: str) -> int:
    match = pattern.search(text)
    return int(match.group(1)) if match else 0


def _grown(
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
