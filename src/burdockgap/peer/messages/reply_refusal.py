"""A refusal by a gate."""

from __future__ import annotations

from burdockgap.wire.message import Message


class ReplyRefusal(Message):
    """
    The gate's verdict, sent instead of a reply of the target.

    :param verdict: value of the verdict.
    :param reason: value of the reason.
    :param detail: a sentence for the caller.
    :param owner: peer address to try instead, or empty.
    :param in_flight: requests that run or wait at the gate.
    :param limit: requests that the gate lets run at once.
    """

    __slots__ = (
        "verdict",
        "reason",
        "detail",
        "owner",
        "in_flight",
        "limit",
    )
    TAG = 63

    def __init__(
        self,
        *,
        verdict: str,
        reason: str,
        detail: str,
        owner: str,
        in_flight: int,
        limit: int,
    ) -> None:
        self.verdict = verdict
        self.reason = reason
        self.detail = detail
        self.owner = owner
        self.in_flight = in_flight
        self.limit = limit
