"""The fold of the ``config`` stream."""

from __future__ import annotations

from collections import OrderedDict
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from burdockgap.config.document import Document
from burdockgap.config.replacement import read_replacement
from burdockgap.fold.audit_entries import entry_of_change
from burdockgap.fold.audit_trail import AuditTrail
from burdockgap.fold.messages.decision import Decision
from burdockgap.fold.recent_ids import RecentIds
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget

if TYPE_CHECKING:
    from burdockgap.config.problem import Problem
    from burdockgap.records.config_change import ConfigChange

SEEN_IDS_KEPT = 4096
DECISIONS_KEPT = 1000
ENDED_SESSIONS_KEPT = 4096
_MAX_REASON_CHARS = 1000


class ConfigState:
    """
    The configuration, which all daemons compute identically.

    :ivar offset: offset of the next record to apply.
    :ivar version: number of changes accepted.
    :ivar text: the published document's text.
    :ivar document: the published document.
    :ivar data_centres_out: data centres that are out of service.
    :ivar draining: names of daemons whose targets are drained.
    :ivar ended_sessions: the newest sessions that operators ended.
    :ivar seen: ids of the newest applied records, oldest first.
    :ivar decisions: decisions on the newest changes, by record id.
    :ivar audit: one entry per change, accepted or not.
    """

    __slots__ = (
        "audit",
        "data_centres_out",
        "decisions",
        "document",
        "draining",
        "ended_sessions",
        "offset",
        "seen",
        "text",
        "version",
    )

    def __init__(self) -> None:
        self.offset = 0
        self.version = 0
        self.text = ""
        self.document = Document()
        self.data_centres_out: set[str] = set()
        self.draining: set[str] = set()
        self.ended_sessions = RecentIds(ENDED_SESSIONS_KEPT)
        self.seen = RecentIds(SEEN_IDS_KEPT)
        self.decisions: OrderedDict[int, Decision] = OrderedDict()
        self.audit = AuditTrail()

    def skip(self, offset: int) -> None:
        """Advance past a record that changes nothing."""
        self.offset = offset + 1

    def apply(self, offset: int, record: ConfigChange) -> Decision:
        """
        Apply the change at an offset.

        :return: the decision. A repeated record id gets its first
            decision, or a rejection if that is no longer kept.
        """
        self.offset = offset + 1
        if record.record_id in self.seen:
            return self._repeated_decision(record)
        self.seen.add(record.record_id)
        decision = self._decide(record)
        self._keep_decision(record.record_id, decision)
        self.audit.add(entry_of_change(offset, record, decision))
        return decision

    def decision_of(self, record_id: int) -> Decision | None:
        """Return the decision on a change, if it is still kept."""
        return self.decisions.get(record_id)

    def _repeated_decision(self, record: ConfigChange) -> Decision:
        known = self.decision_of(record.record_id)
        return known or self._reject("the record was applied before")

    def _keep_decision(self, record_id: int, decision: Decision) -> None:
        self.decisions[record_id] = decision
        if len(self.decisions) > DECISIONS_KEPT:
            self.decisions.popitem(last=False)

    def _decide(self, record: ConfigChange) -> Decision:
        if record.against != self.version:
            return self._reject(
                f"made against version {record.against}, but the current "
                f"version is {self.version}: read it and try again"
            )
        reason = self._apply_change(record.change)
        if reason:
            return self._reject(reason)
        self.version += 1
        return Decision(accepted=True, reason="", version=self.version)

    def _reject(self, reason: str) -> Decision:
        return Decision(
            accepted=False,
            reason=reason[:_MAX_REASON_CHARS],
            version=self.version,
        )

    @singledispatchmethod
    def _apply_change(self, change: object) -> str:
        raise TypeError(f"unsupported configuration change {type(change)}")

    @_apply_change.register
    def _(self, change: Publish) -> str:
        replacement = read_replacement(self.document, change.document)
        if not is_successful(replacement):
            return _join_problems(replacement.failure())
        self.document = replacement.unwrap()
        self.text = change.document
        return ""

    @_apply_change.register
    def _(self, change: SetDataCentre) -> str:
        _set_member(self.data_centres_out, change.name, change.out)
        return ""

    @_apply_change.register
    def _(self, change: SetTarget) -> str:
        _set_member(self.draining, change.name, change.draining)
        return ""

    @_apply_change.register
    def _(self, change: EndSession) -> str:
        self.ended_sessions.add(change.session_id)
        return ""


def _join_problems(problems: list[Problem]) -> str:
    return "; ".join(str(problem) for problem in problems)


def _set_member(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)
