"""One entry of the audit trail."""

from __future__ import annotations

from burdockgap.wire.message import Message


class AuditEntry(Message):
    """
    A change of the configuration or of ownership.

    :param stream: the stream that the record is in.
    :param offset: the record's offset.
    :param record_id: the record's id.
    :param at: wall-clock time in seconds, by the author's clock.
    :param author: the operator, or the coordinator's daemon name.
    :param against: the version that the change is based on, or the
        coordinator's term.
    :param what: description of the change.
    :param count: number of units or sessions affected.
    :param accepted: whether it took effect.
    :param decision: ``accepted``, or why it was rejected.
    """

    __slots__ = (
        "stream",
        "offset",
        "record_id",
        "at",
        "author",
        "against",
        "what",
        "count",
        "accepted",
        "decision",
    )
    TAG = 44

    def __init__(
        self,
        *,
        stream: str,
        offset: int,
        record_id: int,
        at: float,
        author: str,
        against: int,
        what: str,
        count: int,
        accepted: bool,
        decision: str,
    ) -> None:
        self.stream = stream
        self.offset = offset
        self.record_id = record_id
        self.at = at
        self.author = author
        self.against = against
        self.what = what
        self.count = count
        self.accepted = accepted
        self.decision = decision
