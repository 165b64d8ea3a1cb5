"""Finds the process that owns a TCP connection."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_TCP_TABLE = Path("/proc/net/tcp")
_LOCAL_FIELD = 1
_REMOTE_FIELD = 2
_INODE_FIELD = 9


def find_port_owner(
    port: int, remote_port: int, names: Mapping[int, str]
) -> str | None:
    """
    Return the name of the process that owns a connection.

    :param port: local port of the connection.
    :param remote_port: remote port of the connection.
    :param names: names of the candidate processes, by process id.
    :return: ``None`` if none of them owns it.
    """
    inodes = _inodes(port, remote_port)
    for pid, name in names.items():
        if inodes & _sockets(pid):
            return name
    return None


def _inodes(port: int, remote_port: int) -> set[str]:
    found = set()
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if (
            _port(fields[_LOCAL_FIELD]) == port
            and _port(fields[_REMOTE_FIELD]) == remote_port
        ):
            found.add(f"socket:[{fields[_INODE_FIELD]}]")
    return found


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)


def _sockets(pid: int) -> set[str]:
    found = set()
    folder = f"/proc/{pid}/fd"
    try:
        for name in os.listdir(folder):
            found.add(os.readlink(f"{folder}/{name}"))
    except OSError:
        return found
    return found
