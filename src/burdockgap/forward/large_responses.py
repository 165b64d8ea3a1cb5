"""Large responses and the time that the link needs for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.uplink import Uplink

_SIZE_WEIGHT = 0.1
"""Weight of one large response's size in the moving average; sizes vary
by half."""


class LargeResponses:
    """
    Predicts the load of the link by responses that are large.

    :param uplink: the machine's outbound link.
    :ivar in_flight: requests for large responses that the target is
        running.
    """

    __slots__ = ("_mean_bytes", "_uplink", "in_flight")

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._mean_bytes = 0.0
        self.in_flight = 0

    @property
    def expected_bytes(self) -> int:
        """Expected size of one response; 0 until one is known."""
        return int(self._mean_bytes)

    @property
    def uplink_s(self) -> float:
        """Seconds until the link has sent queued and expected data."""
        expected_bytes = self.in_flight * self._mean_bytes
        return self._uplink.backlog_s + self._uplink.sending_s(
            int(expected_bytes)
        )

    def note_size(self, size: int) -> None:
        """Learn from the size of a response."""
        if not self._mean_bytes:
            self._mean_bytes = size
        self._mean_bytes += _SIZE_WEIGHT * (size - self._mean_bytes)
