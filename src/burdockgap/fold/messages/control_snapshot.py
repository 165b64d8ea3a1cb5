"""The state of the control fold in a snapshot."""

from __future__ import annotations

from burdockgap.fold.messages.audit_entry import AuditEntry
from burdockgap.fold.messages.table_entry import TableEntry
from burdockgap.records.claim import Claim
from burdockgap.records.session_entry import SessionEntry
from burdockgap.wire.message import Message


class ControlSnapshot(Message):
    """
    The complete state of the control fold.

    :param offset: offset of the first record not included.
    :param term: the coordinator's term.
    :param coordinator: the claim of the current term, if any.
    :param sessions: admitted sessions that have not ended.
    :param tables: the units of each keyed service.
    :param seen: ids of applied records, 8 bytes each, oldest first.
    :param audit: the audit trail, oldest first.
    """

    __slots__ = (
        "offset",
        "term",
        "coordinator",
        "sessions",
        "tables",
        "seen",
        "audit",
    )
    TAG = 41

    def __init__(
        self,
        *,
        offset: int,
        term: int,
        coordinator: Claim | None,
        sessions: list[SessionEntry],
        tables: list[TableEntry],
        seen: bytes,
        audit: list[AuditEntry],
    ) -> None:
        self.offset = offset
        self.term = term
        self.coordinator = coordinator
        self.sessions = sessions
        self.tables = tables
        self.seen = seen
        self.audit = audit
