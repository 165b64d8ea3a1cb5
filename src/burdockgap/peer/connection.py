"""One connection to a peer."""

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
    :param now: clock time, in seconds.
    :ivar heard_at: clock time of the last sign of the peer on it.
    :ivar proved: whether a call on it has been answered.
    :ivar streams: requests that are on it now.
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
        """Note a sign of the peer."""
        self.last_activity_at = now
        self.verified = True

    @contextmanager
    def stream(self) -> Iterator[None]:
        """Count a request; a retired connection ends with the last."""
        self.active_streams += 1
        try:
            yield
        finally:
            self.active_streams -= 1
            if self._retired and self.active_streams == 0:
                self.close()

    def retire(self) -> None:
        """Let requests on it end, then close it."""
        self._retired = True
        if self.active_streams == 0:
            self.close()

    def close(self) -> None:
        """Close it at once; requests on it fail."""
        self.channel.close()
