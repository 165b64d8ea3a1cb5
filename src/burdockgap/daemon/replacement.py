"""Conditions for replacing a session by a new one of its daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.coordinator.admission import SUCCESSORS_MAX, WITNESSES_MIN

if TYPE_CHECKING:
    from burdockgap.fold.control_state import ControlState
    from burdockgap.records.session_entry import SessionEntry

_SUCCESSORS_MIN = 2


def needs_replacement(
    control: ControlState, entry: SessionEntry, *, witnesses: int
) -> bool:
    """
    Tell whether a new session would have more witnesses or successors.

    :param control: the folded control stream.
    :param entry: the session.
    :param witnesses: number of witnesses that a session should have.
    """
    return _lacks_witnesses(control, entry, witnesses) or _lacks_successors(
        control, entry
    )


def _lacks_witnesses(
    control: ControlState, entry: SessionEntry, wanted: int
) -> bool:
    live = {other.incarnation for other in control.sessions.values()}
    available = len(live - {entry.incarnation})
    if available < WITNESSES_MIN:
        return False
    serving = [
        witness for witness in entry.witnesses if witness.incarnation in live
    ]
    return len(serving) < min(wanted, available)


def _lacks_successors(control: ControlState, entry: SessionEntry) -> bool:
    available = {
        other.incarnation
        for other in control.sessions.values()
        if other.service == entry.service
        and other.incarnation != entry.incarnation
    }
    serving = {
        control.sessions[successor].incarnation
        for successor in entry.successors
        if control.is_live(successor)
    }
    wanted = min(_SUCCESSORS_MIN, SUCCESSORS_MAX, len(available))
    return len(serving) < wanted
