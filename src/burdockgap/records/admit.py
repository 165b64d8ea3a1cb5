"""Admission of sessions."""

from __future__ import annotations

from burdockgap.records.session_entry import SessionEntry
from burdockgap.wire.message import Message


class Admit(Message):
    """
    Sessions that the coordinator admits together.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param at: wall-clock time in seconds.
    :param sessions: the admitted sessions.
    """

    __slots__ = (
        "record_id",
        "term",
        "at",
        "sessions",
    )
    TAG = 11

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        at: float,
        sessions: list[SessionEntry],
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.at = at
        self.sessions = sessions
