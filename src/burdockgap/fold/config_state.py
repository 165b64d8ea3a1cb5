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
_REASON_LENGTH = 1000


class ConfigState:
    """
    The configuration, as every daemon computes it alike.

    :ivar offset: offset of the next record to apply.
    :ivar version: number of changes accepted.
    :ivar text: the published document's text.
    :ivar document: the published document.
    :ivar data_centres_out: data centres that are out of service.
    :ivar draining: names of daemons whose targets are drained.
    :ivar ended_sessions: sessions that operators ended, the newest.
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
        """Pass over a record that changes nothing."""
        self.offset = offset + 1

    def apply(self, offset: int, record: ConfigChange) -> Decision:
        """
        Apply the change at an offset.

        :return: the decision; the earlier one if the id was seen.
        """
        self.offset = offset + 1
        if record.record_id in self.seen:
            return self._repeated(record)
        self.seen.add(record.record_id)
        decision = self._decide(record)
        self._keep(record.record_id, decision)
        self.audit.add(entry_of_change(offset, record, decision))
        return decision

    def decision_of(self, record_id: int) -> Decision | None:
        """Return the decision on a change, if it is still kept."""
        return self.decisions.get(record_id)

    def _repeated(self, record: ConfigChange) -> Decision:
        known = self.decision_of(record.record_id)
        return known or self._reject("the record was applied before")

    def _keep(self, record_id: int, decision: Decision) -> None:
        self.decisions[record_id] = decision
        if len(self.decisions) > DECISIONS_KEPT:
            self.decisions.popitem(last=False)

    def _decide(self, record: ConfigChange) -> Decision:
        if record.against != self.version:
            return self._reject(
                f"made against version {record.against}, but the current "
                f"version is {self.version}: read it and try again"
            )
        reason = self._change(record.change)
        if reason:
            return self._reject(reason)
        self.version += 1
        return Decision(accepted=True, reason="", version=self.version)

    def _reject(self, reason: str) -> Decision:
        return Decision(
            accepted=False,
            reason=reason[:_REASON_LENGTH],
            version=self.version,
        )

    @singledispatchmethod
    def _change(self, change: object) -> str:
        raise TypeError(f"no such change: {type(change)}")

    @_change.register
    def _(self, change: Publish) -> str:
        read = read_replacement(self.document, change.document)
        if not is_successful(read):
            return _show(read.failure())
        self.document = read.unwrap()
        self.text = change.document
        return ""

    @_change.register
    def _(self, change: SetDataCentre) -> str:
        _set_member(self.data_centres_out, change.name, change.out)
        return ""

    @_change.register
    def _(self, change: SetTarget) -> str:
        _set_member(self.draining, change.name, change.draining)
        return ""

    @_change.register
    def _(self, change: EndSession) -> str:
        self.ended_sessions.add(change.session_id)
        return ""


def _show(problems: list[Problem]) -> str:
    return "; ".join(str(problem) for problem in problems)


def _set_member(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)
