"""The confirmed end of a session."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Ended(Message):
    """
    States that a session has ended and will never hold a unit again.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param at: wall-clock time in seconds.
    :param session_id: the ended session.
    :param cause: ``expired``, ``left`` or ``operator``.
    :param promised_by: incarnations of the witnesses that promised
        never to acknowledge the session's lease again.
    """

    __slots__ = (
        "record_id",
        "term",
        "at",
        "session_id",
        "cause",
        "promised_by",
    )
    TAG = 12

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        at: float,
        session_id: int,
        cause: str,
        promised_by: list[int],
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.at = at
        self.session_id = session_id
        self.cause = cause
        self.promised_by = promised_by
