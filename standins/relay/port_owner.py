"""Finds the process that owns a TCP connection."""

from __future__ import annotations

import errno
import os
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# The kernel's interface is described in sock_diag(7).
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = b"\xff" * 8
_NETLINK_HEADER = struct.Struct("=IHHII")
_REQUEST_HEAD = struct.Struct("=BBBxI")
_SOCKET_ID = struct.Struct("!HH4s12x4s12xI8s")
_REPLY = struct.Struct(f"=4x{_SOCKET_ID.size}x16xI")
_ERROR = struct.Struct("=i")
_REPLY_MAX_BYTES = 8192


def find_port_owner(
    local: tuple[str, int], remote: tuple[str, int], names: Mapping[int, str]
) -> str | None:
    """
    Return the name of the process that owns a connection.

    :param local: IPv4 address and port of the process's end.
    :param remote: IPv4 address and port of the other end.
    :param names: names of the candidate processes, by process id.
    :return: ``None`` if none of them owns it.
    :raises OSError: if the kernel does not answer the query.
    """
    inode = _inode(local, remote)
    if not inode:
        return None
    for pid, name in names.items():
        if f"socket:[{inode}]" in _sockets(pid):
            return name
    return None


def _inode(local: tuple[str, int], remote: tuple[str, int]) -> int:
    """
    Return the inode of a connection's socket, 0 if there is none.

    The kernel looks up the one socket. ``/proc/net/tcp`` lists those of
    all processes, and to read it takes longer the more there are.
    """
    body = _REQUEST_HEAD.pack(
        socket.AF_INET, socket.IPPROTO_TCP, 0, _ALL_STATES
    ) + _SOCKET_ID.pack(
        local[1],
        remote[1],
        socket.inet_aton(local[0]),
        socket.inet_aton(remote[0]),
        0,
        _NO_COOKIE,
    )
    header = _NETLINK_HEADER.pack(
        _NETLINK_HEADER.size + len(body),
        _SOCK_DIAG_BY_FAMILY,
        _NLM_F_REQUEST,
        0,
        0,
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(header + body)
        reply = kernel.recv(_REPLY_MAX_BYTES)
    return _inode_in(reply)


def _inode_in(reply: bytes) -> int:
    kind = _NETLINK_HEADER.unpack_from(reply)[1]
    if kind == _SOCK_DIAG_BY_FAMILY:
        inode: int = _REPLY.unpack_from(reply, _NETLINK_HEADER.size)[0]
        return inode
    number = -_ERROR.unpack_from(reply, _NETLINK_HEADER.size)[0]
    if number == errno.ENOENT:
        return 0
    raise OSError(number, f"query for a socket: {os.strerror(number)}")


def _sockets(pid: int) -> set[str]:
    found = set()
    folder = f"/proc/{pid}/fd"
    try:
        for name in os.listdir(folder):
            found.add(os.readlink(f"{folder}/{name}"))
    except OSError:
        return found
    return found
