"""Sessions of the daemons that may serve a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fold.config_state import ConfigState
    from burdockgap.fold.control_state import ControlState
    from burdockgap.records.session_entry import SessionEntry


def keyed_candidates(
    control: ControlState, service: str, key_hash: int
) -> list[SessionEntry]:
    """
    Return the owner of a key's unit, followed by fallbacks.

    The fallbacks are the unit's successor and then its earlier holders,
    the latest first. Ended sessions are left out, so the list may be
    empty.
    """
    table = control.tables.get(service)
    if table is None:
        return []
    unit = table.unit_of(key_hash)
    holders = [table.owner(unit), control.successor(service, unit)]
    holders += reversed(table.earlier_holders(unit))
    session_ids = dict.fromkeys(holders)
    return [
        control.sessions[session_id]
        for session_id in session_ids
        if session_id in control.sessions
    ]


def unkeyed_candidates(
    control: ControlState, config: ConfigState, service: str
) -> list[SessionEntry]:
    """Return one session for each daemon that may take new work."""
    by_name = {
        entry.name: entry
        for entry in control.sessions.values()
        if entry.service == service
        and entry.data_centre not in config.data_centres_out
        and entry.name not in config.draining
    }
    return list(by_name.values())
