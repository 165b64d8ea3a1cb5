"""A TCP connection that the relay forwards."""

from __future__ import annotations


class RelayedStream:
    """
    The state of a connection.

    :param target: name of the endpoint that it was opened to.
    :ivar is_silent: whether what either side sends is dropped, while
        the connection stays open, as after a lost NAT entry.
    """

    __slots__ = ("is_silent", "target")

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_silent = False
