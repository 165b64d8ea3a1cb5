"""The newest control state that this daemon knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.shards.control_state import ControlState

if TYPE_CHECKING:
    from collections.abc import Callable


class ControlView:
    """
    Holds the newest control state and never reverts to an older one.

    :param on_change: called after each change.
    :ivar state: the newest state known.
    :ivar known: whether any state was read or received.
    """

    __slots__ = ("_on_change", "known", "state")

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self.state = ControlState()
        self.known = False

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision of the state."""
        return self.state.version

    def adopt(self, state: ControlState) -> bool:
        """
        Replace the known state by a newer one.

        :return: ``False`` if the given state is not newer.
        """
        if self.known and state.version <= self.version:
            return False
        self.known = True
        self.state = state
        self._on_change()
        return True
