"""The relay finds which process opened a connection."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

from standins.relay.port_owner import find_port_owner

_ENDS = (("127.0.0.2", "127.0.0.3"), ("127.0.0.4", "127.0.0.5"))
_CHILD = """
import socket, sys
host, port, remote_host, remote_port = sys.argv[1:]
with socket.socket() as client:
    client.bind((host, int(port)))
    client.connect((remote_host, int(remote_port)))
    print(flush=True)
    sys.stdin.read()
"""


def _listen(host, port):
    listener = socket.create_server((host, port))
    return listener, listener.getsockname()[1]


def test_connections_with_the_same_ports_are_told_apart():
    """
    Only the addresses tell which process opened a connection.

    Daemons of a site, and other sites on the machine, use the same
    ports at other addresses.
    """
    (own_host, own_remote_host), (other_host, other_remote_host) = _ENDS
    own_listener, remote_port = _listen(own_remote_host, 0)
    other_listener, _ = _listen(other_remote_host, remote_port)
    with own_listener, other_listener, socket.socket() as client:
        client.bind((own_host, 0))
        port = client.getsockname()[1]
        client.connect((own_remote_host, remote_port))
        child = subprocess.Popen(
            [
                sys.executable,
                "-c",
                _CHILD,
                other_host,
                str(port),
                other_remote_host,
                str(remote_port),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        with child:
            child.stdout.readline()
            names = {os.getpid(): "own", child.pid: "other"}
            found = [
                find_port_owner(
                    (own_host, port), (own_remote_host, remote_port), names
                ),
                find_port_owner(
                    (other_host, port),
                    (other_remote_host, remote_port),
                    names,
                ),
            ]
    assert found == ["own", "other"]


def test_unknown_connection_has_no_owner():
    assert (
        find_port_owner(
            ("127.0.0.2", 1), ("127.0.0.3", 2), {os.getpid(): "own"}
        )
        is None
    )
