"""The renewals that a holder has sent to one witness."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.records.witness_ref import WitnessRef

_UNANSWERED_KEPT = 16


class Renewals:
    """
    Send times of renewals and the newest one acknowledged.

    :param witness: the witness that the session names.
    :ivar acked_at: send time of the newest acknowledged renewal.
    """

    __slots__ = ("_seq", "_sent", "acked_at", "witness")

    def __init__(self, witness: WitnessRef) -> None:
        self.witness = witness
        self.acked_at = float("-inf")
        self._seq = 0
        self._sent: OrderedDict[int, float] = OrderedDict()

    def sent(self, now: float) -> int:
        """Note that a renewal is sent now and return its number."""
        self._seq += 1
        self._sent[self._seq] = now
        if len(self._sent) > _UNANSWERED_KEPT:
            self._sent.popitem(last=False)
        return self._seq

    def acked(self, seq: int) -> bool:
        """Note an answer; ``False`` if its number is unknown."""
        sent_at = self._sent.pop(seq, None)
        if sent_at is None:
            return False
        self.acked_at = max(self.acked_at, sent_at)
        return True
