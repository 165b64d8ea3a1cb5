"""A connection that holds memory while its peer has to act."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class HeldConnection(Generic[T]):
    """
    A connection that waits for its peer to send or to read.

    :param connection: the connection.
    :param held_bytes: bytes that are freed when it is closed.
    :param bytes_per_s: bytes sent and read by the peer in the last
        window, per second.
    :param waiting_s: how long it has waited for the peer, in seconds.
    """

    __slots__ = ("bytes_per_s", "connection", "held_bytes", "waiting_s")

    def __init__(
        self,
        connection: T,
        *,
        held_bytes: int,
        bytes_per_s: float,
        waiting_s: float,
    ) -> None:
        self.connection = connection
        self.held_bytes = held_bytes
        self.bytes_per_s = bytes_per_s
        self.waiting_s = waiting_s
