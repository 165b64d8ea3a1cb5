"""The sessions that units may be assigned to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.fold.config_state import ConfigState
    from burdockgap.fold.control_state import ControlState


class Roster:
    """
    The sessions of one service that may own units now.

    :param control: the known sessions.
    :param config: names the data centres and targets that are out of
        service.
    :param service: the keyed service.
    :param leaving: ids of sessions that are leaving.
    :ivar eligible: ids of the sessions that may own units.
    :ivar replacement: maps each older session of a process run to the
        newest one.
    """

    __slots__ = ("eligible", "replacement")

    def __init__(
        self,
        *,
        control: ControlState,
        config: ConfigState,
        service: str,
        leaving: set[int],
    ) -> None:
        self.eligible: list[int] = []
        self.replacement = replacements(control)
        for entry in control.sessions.values():
            if (
                entry.service == service
                and entry.session_id not in leaving
                and entry.session_id not in self.replacement
                and entry.data_centre not in config.data_centres_out
                and entry.name not in config.draining
            ):
                self.eligible.append(entry.session_id)


def replacements(control: ControlState) -> dict[int, int]:
    """Map each older session of a process run to the newest one."""
    newest = {
        entry.incarnation: session_id
        for session_id, entry in control.sessions.items()
    }
    return {
        session_id: newest[entry.incarnation]
        for session_id, entry in control.sessions.items()
        if newest[entry.incarnation] != session_id
    }
