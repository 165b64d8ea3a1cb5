"""Periodic updates of the gate from configuration and target state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.daemon.lease_watch import LeaseWatch
from burdockgap.gate.gate_policy import GatePolicy
from burdockgap.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.config.profile import Profile
    from burdockgap.daemon.core import Core
    from burdockgap.gate.gate import Gate
    from burdockgap.ownership.own_sessions import OwnSessions

_UPDATE_INTERVAL_S = 0.25
_KEYED_GRACE_S = 2.0


class GateFollower:
    """
    Applies the configuration; withholds renewals during a stall.

    When a data centre or target is taken out of service, requests for
    keyed units are accepted until the units have moved to other
    daemons, for at most 2 s.

    :param core: the components that all roles share.
    :param service: the service that the target serves.
    :param gate: the gate.
    :param sessions: this daemon's sessions.
    :param is_leaving: tells whether the daemon or the target is about
        to stop; the gate's admission state is then not changed.
    """

    __slots__ = (
        "_core",
        "_gate",
        "_is_leaving",
        "_lease_watch",
        "_out_since",
        "_service",
        "_sessions",
    )

    def __init__(
        self,
        *,
        core: Core,
        service: str,
        gate: Gate,
        sessions: OwnSessions,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._core = core
        self._service = service
        self._gate = gate
        self._sessions = sessions
        self._is_leaving = is_leaving
        self._lease_watch = LeaseWatch(sessions, core.clock)
        self._out_since: float | None = None

    async def run(self) -> None:
        """Update the gate and the leases until cancelled."""
        while True:
            self._apply_policy()
            self._apply_service_state()
            self._apply_progress()
            self._lease_watch.check()
            await anyio.sleep(_UPDATE_INTERVAL_S)

    def _apply_policy(self) -> None:
        profile = self._core.folds.config.document.profile_of(self._service)
        self._gate.set_policy(gate_policy(profile))

    def _apply_service_state(self) -> None:
        if self._is_leaving():
            return
        reason = self._out_reason()
        now = self._core.clock.now()
        if reason is None:
            self._out_since = None
        elif self._out_since is None:
            self._out_since = now
        self._gate.refuse_new(reason if self._refuses_new_work(now) else None)

    def _out_reason(self) -> Reason | None:
        config = self._core.folds.config
        if self._core.identity.data_centre in config.data_centres_out:
            return Reason.DATA_CENTRE_OUT
        if self._core.identity.name in config.draining:
            return Reason.DRAINING
        return None

    def _refuses_new_work(self, now: float) -> bool:
        """Tell whether the gate must refuse new work by now."""
        if self._out_since is None:
            return False
        if self._sessions.table() is None:
            return True
        has_units = any(
            session.holdings.active for session in self._sessions.admitted()
        )
        return not has_units or now - self._out_since > _KEYED_GRACE_S

    def _apply_progress(self) -> None:
        for session in self._sessions.admitted():
            if session.lease is None:
                continue
            if self._gate.progressing:
                session.lease.resume()
            elif not session.lease.withheld:
                logger.warning("the target makes no progress")
                session.lease.withhold()


def gate_policy(profile: Profile) -> GatePolicy:
    """Return the gate's settings from a service profile."""
    return GatePolicy(
        queue_length=profile.queue_length,
        queue_wait_s=profile.queue_wait_ms / 1000,
        ramp_start=profile.ramp_start,
        ramp_step=profile.ramp_step,
    )
