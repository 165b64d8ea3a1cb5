"""The renewals that a holder has sent to one witness."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.witness_ref import WitnessRef

_MAX_UNACKNOWLEDGED = 16


class Renewals:
    """
    Tracks send times of renewals and the newest acknowledged one.

    :param witness: the witness that the session names.
    :ivar acked_at: send time of the newest acknowledged renewal,
        ``-inf`` before the first.
    """

    __slots__ = ("_last_seq", "_sent_at", "acked_at", "witness")

    def __init__(self, witness: WitnessRef) -> None:
        self.witness = witness
        self.acked_at = float("-inf")
        self._last_seq = 0
        self._sent_at: OrderedDict[int, float] = OrderedDict()

    def record_sent(self, now: float) -> int:
        """Record that a renewal is sent now; return its number."""
        self._last_seq += 1
        self._sent_at[self._last_seq] = now
        if len(self._sent_at) > _MAX_UNACKNOWLEDGED:
            self._sent_at.popitem(last=False)
        return self._last_seq

    def record_ack(self, seq: int) -> bool:
        """Record an acknowledgement; ``False`` if it is unknown."""
        sent_at = self._sent_at.pop(seq, None)
        if sent_at is None:
            return False
        self.acked_at = max(self.acked_at, sent_at)
        return True
