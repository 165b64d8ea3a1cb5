"""The components of a daemon that serve its local target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.daemon.gate_follower import GateFollower
from burdockgap.daemon.load_reporter import LoadReporter
from burdockgap.daemon.suspect_broadcaster import SuspectBroadcaster
from burdockgap.verdict import Reason

if TYPE_CHECKING:
    from burdockgap.daemon.core import Core
    from burdockgap.daemon.current_target import CurrentTarget
    from burdockgap.daemon.session_keeper import SessionKeeper
    from burdockgap.gate.gate import Gate
    from burdockgap.load.load_meter import LoadMeter
    from burdockgap.ownership.grants import Grants
    from burdockgap.ownership.guard import Guard
    from burdockgap.ownership.own_sessions import OwnSessions
    from burdockgap.ownership.releaser import Releaser
    from burdockgap.ownership.takeover import Takeover
    from burdockgap.target import TargetInfo
    from burdockgap.target.http_target import HttpTarget

_DRAIN_RETRY_S = 0.25
_MOVE_AWAY_TIMEOUT_S = 2.5
_LEAVE_TIMEOUT_S = 5.0
_DRAIN_ATTEMPTS = 20
_UNCHECKED_MARGIN_S = 0.2


def lease_margin_s(info: TargetInfo) -> float:
    """
    Return how long before the end of the lease work must end.

    A target that checks grants itself needs no margin.
    """
    return 0.0 if info.checks_grants else _UNCHECKED_MARGIN_S


class ServiceSide:
    """
    Gate, sessions and ownership for one service.

    :param core: the components that all roles share.
    :param service: the service that the target serves.
    :param gate: the gate.
    :param current_target: the local target.
    :param sessions: this daemon's sessions.
    :param guard: permits or refuses each dispatch.
    :param takeover: takes units over from their earlier owners.
    :param keeper: keeps a session open.
    :param releaser: releases units to their new owners.
    :param grants: keeps the target's grants up to date.
    :param meter: counts requests by unit and by key.
    :ivar target_stopping: whether the target is about to stop.
    """

    __slots__ = (
        "_core",
        "_guard",
        "_target_stop_noticed",
        "gate",
        "grants",
        "keeper",
        "meter",
        "releaser",
        "service",
        "sessions",
        "current_target",
        "takeover",
        "target_stopping",
    )

    def __init__(
        self,
        *,
        core: Core,
        service: str,
        gate: Gate,
        current_target: CurrentTarget,
        sessions: OwnSessions,
        guard: Guard,
        takeover: Takeover,
        keeper: SessionKeeper,
        releaser: Releaser,
        grants: Grants,
        meter: LoadMeter,
    ) -> None:
        self._core = core
        self.service = service
        self.gate = gate
        self.current_target = current_target
        self.sessions = sessions
        self.takeover = takeover
        self.keeper = keeper
        self.releaser = releaser
        self.grants = grants
        self.meter = meter
        self._guard = guard
        self._target_stop_noticed = anyio.Event()
        self.target_stopping = False

    async def run(self) -> None:
        """Serve the target until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.takeover.run)
            tasks.start_soon(self.keeper.run)
            tasks.start_soon(self._follower().run)
            tasks.start_soon(self._leave_when_target_stops)
            tasks.start_soon(self._reporter().run)
            tasks.start_soon(self._suspect_broadcaster().run)

    async def announced(self, info: TargetInfo) -> None:
        """Apply a repeated announcement of the target."""
        restarted = await self.current_target.replace(info)
        self.gate.announced(info, self.current_target.http_target)
        if not restarted:
            return
        logger.info("target restarted, boot id {}", info.boot_id)
        self.grants.checks_grants = info.checks_grants
        self._guard.margin_s = lease_margin_s(info)
        self.grants.target_restarted()
        if self.target_stopping:
            self.target_stopping = False
            self.keeper.reopen()

    def target_leaving(self) -> None:
        """
        Start handing over for a target that is about to stop.

        This returns at once, since work in flight can take longer than
        the target waits for a reply. The target is told to drain when
        the handover is done. A repeated notice has no effect.
        """
        if not self.target_stopping:
            self.target_stopping = True
            self._target_stop_noticed.set()

    async def _leave_when_target_stops(self) -> None:
        """Hand over whenever the target stops, until cancelled."""
        while True:
            await self._target_stop_noticed.wait()
            self._target_stop_noticed = anyio.Event()
            target = self.current_target.http_target
            await self.leave()
            if self.target_stopping:
                await _drain(target)
            else:
                self.keeper.reopen()

    async def leave(self) -> bool:
        """
        Hand units over, wait for work in flight and end all sessions.

        :return: whether all work in flight ended in time.
        """
        drain = self._core.settings.drain
        moved = await self.keeper.move_units_away(_MOVE_AWAY_TIMEOUT_S)
        self.gate.refuse_new(Reason.DRAINING)
        drained = await self.gate.drained(drain.request_timeout_s)
        # Units of work that still runs must stay owned until the lease
        # ends.
        left = drained and await self.keeper.leave(_LEAVE_TIMEOUT_S)
        logger.info(
            "handover finished: units moved {}, work in flight ended {}, "
            "sessions ended {}",
            moved,
            drained,
            left,
        )
        return drained

    def _follower(self) -> GateFollower:
        return GateFollower(
            core=self._core,
            service=self.service,
            gate=self.gate,
            sessions=self.sessions,
            is_leaving=lambda: self.target_stopping or self._core.leaving,
        )

    def _reporter(self) -> LoadReporter:
        return LoadReporter(
            folds=self._core.folds,
            client=self._core.client,
            sessions=self.sessions,
            meter=self.meter,
        )

    def _suspect_broadcaster(self) -> SuspectBroadcaster:
        return SuspectBroadcaster(
            quarantine=self.gate.quarantine,
            folds=self._core.folds,
            sender=self._core.lease_socket,
            own_address=self._core.identity.peer_address,
        )


async def _drain(target: HttpTarget) -> None:
    for _ in range(_DRAIN_ATTEMPTS):
        try:
            await target.drain()
        except ConnectionRefusedError:
            return
        except ConnectionError as exc:
            logger.info("drain call to the target failed: {}", exc)
            await anyio.sleep(_DRAIN_RETRY_S)
        else:
            return
