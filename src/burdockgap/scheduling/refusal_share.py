"""
Share of the new requests that a queue has refused recently.

Addresses lasting overload: a queue that is always full keeps each
request up to its latest start, so that the slightest error of the
prediction makes it late. Shorter waits serve as many and lose fewer.
"""

from __future__ import annotations

_MAX_WEIGHT = 0.2
"""Weight of one request at a server that runs few per second."""


class RefusalShare:
    """
    A moving average over about the last second of a server's capacity.

    :ivar value: the share, 0 to 1.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def note(self, *, refused: bool, mean_s: float, slots: int) -> None:
        """
        Count a new request.

        :param mean_s: mean service time, in seconds.
        :param slots: requests that the server may run at once.
        """
        weight = min(mean_s / max(slots, 1), _MAX_WEIGHT)
        self.value += weight * (refused - self.value)
