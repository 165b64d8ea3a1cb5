"""One connection to a peer."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from grpclib.client import Channel


class Connection:
    """
    A gRPC channel with its state.

    :param channel: the channel.
    :param metadata: metadata of each call.
    :param now: clock time, in seconds.
    :ivar last_activity_at: clock time at which the peer last responded
        on it, at first the time of its creation.
    :ivar verified: whether a call on it has been answered.
    :ivar active_streams: number of forwarded requests on it now.
    """

    __slots__ = (
        "_retired",
        "channel",
        "last_activity_at",
        "metadata",
        "verified",
        "active_streams",
    )

    def __init__(
        self, channel: Channel, metadata: dict[str, str], now: float
    ) -> None:
        self.channel = channel
        self.metadata = metadata
        self.last_activity_at = now
        self.verified = False
        self.active_streams = 0
        self._retired = False

    def record_activity(self, now: float) -> None:
        """Record that the peer has responded."""
        self.last_activity_at = now
        self.verified = True

    @contextmanager
    def stream(self) -> Iterator[None]:
        """Count a request; the last one closes a retired connection."""
        self.active_streams += 1
        try:
            yield
        finally:
            self.active_streams -= 1
            if self._retired and self.active_streams == 0:
                self.close()

    def retire(self) -> None:
        """Close the connection after the last request on it."""
        self._retired = True
        if self.active_streams == 0:
            self.close()

    def close(self) -> None:
        """Close the connection at once; requests on it fail."""
        self.channel.close()
