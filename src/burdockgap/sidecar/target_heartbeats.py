"""Heartbeats and deregistrations of the own target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.crash_watch import CrashWatch
    from burdockgap.forward.target_info import TargetInfo
    from burdockgap.forward.target_state import TargetState


class TargetHeartbeats:
    """
    Applies heartbeats once earlier departures are known.

    :param service: the target's service; heartbeats of others are
        ignored.
    :param target: the target's state.
    :param crashes: detects requests that crash targets.
    :param knows_departures: returns whether departures in an earlier
        run of the daemon are known.
    :param on_event: logs an event with its fields.
    """

    __slots__ = (
        "_crashes",
        "_knows_departures",
        "_on_event",
        "_pending",
        "_service",
        "_target",
    )

    def __init__(
        self,
        *,
        service: str,
        target: TargetState,
        crashes: CrashWatch,
        knows_departures: Callable[[], bool],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._service = service
        self._target = target
        self._crashes = crashes
        self._knows_departures = knows_departures
        self._on_event = on_event
        self._pending: dict[str, TargetInfo] = {}

    def receive(self, info: TargetInfo) -> None:
        """Process a heartbeat; ignore those of other services."""
        if info.service != self._service:
            self._on_event(
                "foreign_heartbeat",
                {"target": info.target_id, "service": info.service},
            )
            return
        if self._knows_departures() or info.draining:
            self._apply(info)
        else:
            # It may be a late one of a process that has left.
            self._pending[info.target_id] = info

    def target_left(self, target_id: str) -> None:
        """Process a target's deregistration."""
        pending = self._pending.pop(target_id, None)
        if pending is not None:
            self._apply(pending)
        self._target.leaving(target_id)

    def departures_read(self) -> None:
        """Apply earlier departures, then pending heartbeats."""
        self._target.apply_departures()
        for info in self._pending.values():
            self._apply(info)
        self._pending.clear()

    def _apply(self, info: TargetInfo) -> None:
        if self._target.announced(info):
            self._crashes.target_announced(info.born)
