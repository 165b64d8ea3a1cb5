"""A connection to one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from grpclib.client import Channel


class Connection:
    """
    A gRPC channel and what is known about it.

    :param channel: the channel.
    :param metadata: metadata of each call.
    :param last_used: clock time of the last answer, in seconds.
    :ivar proved: whether a call on it has been answered.
    """

    __slots__ = ("channel", "last_used", "metadata", "proved")

    def __init__(
        self, channel: Channel, metadata: dict[str, str], last_used: float
    ) -> None:
        self.channel = channel
        self.metadata = metadata
        self.last_used = last_used
        self.proved = False

    def mark_used(self, now: float) -> None:
        """Note that the peer answered on this connection."""
        self.last_used = now
        self.proved = True
