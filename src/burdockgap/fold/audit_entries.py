"""Entries that records add to the audit trail."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from burdockgap.fold.messages.audit_entry import AuditEntry
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.end_session import EndSession
from burdockgap.records.ended import Ended
from burdockgap.records.pin import Pin
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.records.unpin import Unpin
from burdockgap.wire.ids import show_id

if TYPE_CHECKING:
    from burdockgap.fold.control_effect import ControlEffect
    from burdockgap.fold.messages.decision import Decision
    from burdockgap.records.config_change import ConfigChange

_MAX_NAMES_SHOWN = 3
_AUDITED = (Claim, Admit, Ended, Assign, Pin, Unpin)


def entry_of_change(
    offset: int, record: ConfigChange, decision: Decision
) -> AuditEntry:
    """Return the audit entry of a configuration change."""
    return AuditEntry(
        stream=CONFIG,
        offset=offset,
        record_id=record.record_id,
        at=record.at,
        author=record.author,
        against=record.against,
        what=describe(record.change),
        count=1,
        accepted=decision.accepted,
        decision="accepted" if decision.accepted else decision.reason,
    )


def entry_of_control(
    offset: int, record: object, effect: ControlEffect, author: str
) -> AuditEntry | None:
    """
    Return the audit entry of a control record that had an effect.

    :param author: the name of the current coordinator.
    :return: ``None`` if the record does not affect ownership.
    """
    if not isinstance(record, _AUDITED):
        return None
    return AuditEntry(
        stream=CONTROL,
        offset=offset,
        record_id=record.record_id,
        at=record.at,
        author=author,
        against=record.term,
        what=describe(record),
        count=_count(record, effect),
        accepted=True,
        decision="accepted",
    )


def _count(record: object, effect: ControlEffect) -> int:
    if isinstance(record, Admit):
        return len(effect.sessions)
    return len(effect.units)


@singledispatch
def describe(change: object) -> str:
    """Return the audit text of a change or of a control record."""
    raise TypeError(f"no audit text is registered for {type(change)}")


@describe.register
def _(change: Publish) -> str:
    return f"publish {len(change.document.encode())} bytes"


@describe.register
def _(change: SetDataCentre) -> str:
    return f"data centre {change.name} {'out' if change.out else 'in'}"


@describe.register
def _(change: SetTarget) -> str:
    return f"target {change.name} {'drain' if change.draining else 'undrain'}"


@describe.register
def _(change: EndSession) -> str:
    return f"session {show_id(change.session_id)} has ended"


@describe.register
def _(record: Claim) -> str:
    return f"coordinator {record.name} claims term {record.term}"


@describe.register
def _(record: Admit) -> str:
    names = [
        f"{entry.name} {show_id(entry.session_id)}"
        for entry in record.sessions[:_MAX_NAMES_SHOWN]
    ]
    more = len(record.sessions) - len(names)
    if more:
        names.append(f"{more} more")
    return f"admit {', '.join(names)}"


@describe.register
def _(record: Ended) -> str:
    return f"session {show_id(record.session_id)} ended: {record.cause}"


@describe.register
def _(record: Assign) -> str:
    return f"assign units of {record.service}: {record.cause}"


@describe.register
def _(record: Pin) -> str:
    return f"pin {show_id(record.unit)} of {record.service}"


@describe.register
def _(record: Unpin) -> str:
    return f"unpin {show_id(record.unit)} of {record.service}"
