"""Tests of the ports that tests use."""

from __future__ import annotations

import socket

import pytest

from tests.ports import HOST, free_port, is_free


# Guards against "address already in use" at the start of a site.
def test_ports_of_a_test_run_are_distinct():
    ports = [free_port() for _ in range(2000)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_for_either_protocol_is_not_free(kind):
    with socket.socket(type=kind) as sock:
        sock.bind((HOST, 0))
        assert not is_free(sock.getsockname()[1])
