"""A refusal by a target's queue."""

from __future__ import annotations

from burdockgap.verdict import Reason, Refusal, Verdict


class NoRoom(Refusal):
    """
    Raised for a request that would wait too long, with ``not-run``.

    :param room_in_s: after how many seconds there will be room for such
        a request if no others arrive.
    """

    def __init__(self, reason: Reason, room_in_s: float) -> None:
        super().__init__(
            Verdict.NOT_RUN,
            reason,
            "The target has no room for the request; retry later.",
        )
        self.room_in_s = room_in_s
