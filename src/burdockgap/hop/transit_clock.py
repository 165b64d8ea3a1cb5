"""Estimation of how long messages of peers were on their way."""

from __future__ import annotations

_WINDOW_S = 60.0
"""Clocks of two machines drift apart by milliseconds in this time."""
_MAX_SENDERS = 4096


class _Offsets:
    """
    Smallest differences of one sender's times, in two windows.

    :param began_at: when the newer window began.
    """

    __slots__ = ("began_at", "newer", "older")

    def __init__(self, began_at: float, offset: float) -> None:
        self.began_at = began_at
        self.newer = self.older = offset


class TransitClock:
    """
    Compares the times at which messages were sent and received.

    The clocks of two machines differ by an unknown offset. The smallest
    difference in the last one to two minutes stands for the offset with
    the shortest time on the way, so what a later message exceeds it by
    was spent in queues, or before a suspended process went on.

    Both clocks have to count while a machine is suspended.
    """

    __slots__ = ("_offsets",)

    def __init__(self) -> None:
        self._offsets: dict[int, _Offsets] = {}

    def delay_s(self, sender: int, sent_at: float, now: float) -> float:
        """
        Return how much longer a message took than the fastest one.

        :param sender: incarnation of the sending daemon.
        :param sent_at: when it was sent, on the sender's clock.
        :param now: when it was received, on this daemon's clock.
        """
        offset = now - sent_at
        known = self._offsets.get(sender)
        if known is None:
            if len(self._offsets) >= _MAX_SENDERS:
                self._forget_oldest()
            known = self._offsets[sender] = _Offsets(now, offset)
        elif now - known.began_at > _WINDOW_S:
            known.older, known.newer = known.newer, offset
            known.began_at = now
        known.newer = min(known.newer, offset)
        return offset - min(known.newer, known.older)

    def _forget_oldest(self) -> None:
        oldest = min(
            self._offsets, key=lambda item: self._offsets[item].began_at
        )
        del self._offsets[oldest]
