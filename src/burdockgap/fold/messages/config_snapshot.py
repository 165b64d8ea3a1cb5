"""The state of the configuration fold in a snapshot."""

from __future__ import annotations

from burdockgap.fold.messages.audit_entry import AuditEntry
from burdockgap.fold.messages.decision import Decision
from burdockgap.wire.message import Message


class ConfigSnapshot(Message):
    """
    The complete state of the configuration fold.

    :param offset: offset of the first record not included.
    :param version: the configuration's version.
    :param document: the document's text.
    :param data_centres_out: data centres that are out of service.
    :param draining: daemons whose targets are drained.
    :param ended_sessions: sessions that operators ended.
    :param seen: ids of applied records, 8 bytes each, oldest first.
    :param decided_ids: ids of the newest changes, 8 bytes each.
    :param decisions: the decision on each of them.
    :param audit: the audit trail, oldest first.
    """

    __slots__ = (
        "offset",
        "version",
        "document",
        "data_centres_out",
        "draining",
        "ended_sessions",
        "seen",
        "decided_ids",
        "decisions",
        "audit",
    )
    TAG = 45

    def __init__(
        self,
        *,
        offset: int,
        version: int,
        document: str,
        data_centres_out: list[str],
        draining: list[str],
        ended_sessions: list[int],
        seen: bytes,
        decided_ids: bytes,
        decisions: list[Decision],
        audit: list[AuditEntry],
    ) -> None:
        self.offset = offset
        self.version = version
        self.document = document
        self.data_centres_out = data_centres_out
        self.draining = draining
        self.ended_sessions = ended_sessions
        self.seen = seen
        self.decided_ids = decided_ids
        self.decisions = decisions
        self.audit = audit
