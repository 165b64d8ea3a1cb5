"""Addresses of the form ``ip:port``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """
    Split ``ip:port``.

    :raises ValueError: if the text has no port number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
