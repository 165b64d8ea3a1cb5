"""A connection to one peer."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from grpclib.client import Channel


class Connection:
    """
    A gRPC channel and what is known about it.

    :param channel: the channel.
    :param metadata: metadata of each call.
    :param last_used: clock time of the last answer, in seconds.
    :ivar proved: whether a call on it has been answered.
    :ivar pending: number of forwarded requests without an answer.
    :ivar is_checked: whether it is being probed.
    """

    __slots__ = (
        "channel",
        "is_checked",
        "last_used",
        "metadata",
        "pending",
        "proved",
    )

    def __init__(
        self, channel: Channel, metadata: dict[str, str], last_used: float
    ) -> None:
        self.channel = channel
        self.metadata = metadata
        self.last_used = last_used
        self.proved = False
        self.pending = 0
        self.is_checked = False

    def mark_used(self, now: float) -> None:
        """Note that the peer answered on this connection."""
        self.last_used = now
        self.proved = True

    @contextmanager
    def awaiting(self) -> Iterator[None]:
        """Count a request as pending until the block ends."""
        self.pending += 1
        try:
            yield
        finally:
            self.pending -= 1
