"""Ports for the servers that tests start."""

from __future__ import annotations

import itertools
import random
import socket

HOST = "127.0.0.1"

_PORTS = range(20_000, 32_000)
"""Below the ports that the kernel chooses itself, so that neither an
outgoing connection nor a server on port 0 takes one of them."""
_candidates = itertools.islice(
    itertools.cycle(_PORTS), random.randrange(len(_PORTS)), None
)


def free_port():
    """
    Return a port of :data:`HOST` that is free for TCP and UDP.

    No port is returned again before all others have been, as the caller
    may bind it much later.
    """
    return next(port for port in _candidates if is_free(port))


def is_free(port):
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
