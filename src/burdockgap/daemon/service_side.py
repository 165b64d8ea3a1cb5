"""What a daemon does for the target beside it."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from burdockgap.daemon.lease_watch import LeaseWatch
from burdockgap.daemon.peer_releases import PeerReleases
from burdockgap.daemon.session_keeper import SessionKeeper
from burdockgap.daemon.suspect_news import SuspectNews
from burdockgap.daemon.target_slot import TargetSlot
from burdockgap.gate.gate_policy import GatePolicy
from burdockgap.gate.open_gate import open_gate
from burdockgap.lease.holder import LeaseHolder
from burdockgap.load.load_meter import LoadMeter
from burdockgap.load.metered_permits import MeteredPermits
from burdockgap.ownership.grants import Grants
from burdockgap.ownership.guard import Guard
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.ownership.releaser import Releaser
from burdockgap.ownership.takeover import Takeover
from burdockgap.verdict import Reason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.config.profile import Profile
    from burdockgap.daemon.core import Core
    from burdockgap.gate.gate import Gate
    from burdockgap.gate.permit import Permit
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.target import TargetInfo
    from burdockgap.target.http_target import HttpTarget

_WATCH_EVERY_S = 0.25
_REPORT_MIN_S = 2.0
_REPORTS_PER_S = 25
_MOVE_AWAY_TIMEOUT_S = 2.5
_LEAVE_TIMEOUT_S = 5.0
_DRAIN_ATTEMPTS = 20
_UNCHECKED_MARGIN_S = 0.2
_KEYED_GRACE_S = 2.0


class ServiceSide:
    """
    Gate, sessions and ownership for one service.

    :param core: the parts that all roles share.
    :param info: the target's first announcement.
    :param gate: the gate.
    :param slot: the target.
    :param sessions: this daemon's sessions.
    :param takeover: takes units over.
    :param keeper: keeps a session open.
    :param releaser: gives units up.
    :param grants: keeps the target's grants up to date.
    :param meter: counts load.
    :ivar target_leaves: whether the target is about to stop.
    """

    __slots__ = (
        "_core",
        "_lease_watch",
        "_out_since",
        "_target_left",
        "gate",
        "grants",
        "keeper",
        "meter",
        "releaser",
        "service",
        "sessions",
        "slot",
        "takeover",
        "target_leaves",
    )

    def __init__(
        self,
        *,
        core: Core,
        service: str,
        gate: Gate,
        slot: TargetSlot,
        sessions: OwnSessions,
        takeover: Takeover,
        keeper: SessionKeeper,
        releaser: Releaser,
        grants: Grants,
        meter: LoadMeter,
    ) -> None:
        self._core = core
        self.service = service
        self.gate = gate
        self.slot = slot
        self.sessions = sessions
        self.takeover = takeover
        self.keeper = keeper
        self.releaser = releaser
        self.grants = grants
        self.meter = meter
        self._lease_watch = LeaseWatch(sessions, core.clock)
        self._out_since: float | None = None
        self._target_left = anyio.Event()
        self.target_leaves = False

    async def run(self) -> None:
        """Serve the target until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.takeover.run)
            tasks.start_soon(self.keeper.run)
            tasks.start_soon(self._watch)
            tasks.start_soon(self._leave_with_target)
            tasks.start_soon(self._report_load)
            tasks.start_soon(self._news().run)

    async def announced(self, info: TargetInfo) -> None:
        """Take another announcement of the target."""
        restarted = await self.slot.replace(info)
        self.gate.announced(info, self.slot.current)
        if not restarted:
            return
        logger.info("target restarted, boot id {}", info.boot_id)
        self.grants.checks_grants = info.checks_grants
        self.grants.target_restarted()
        if self.target_leaves:
            self.target_leaves = False
            self.keeper.come_back()

    def target_leaving(self) -> None:
        """
        Begin to give everything up for a target that is about to stop.

        The target hears when that is done. Its notice is taken at once,
        since work in flight can take longer than it waits for an
        answer, and may be repeated.
        """
        if not self.target_leaves:
            self.target_leaves = True
            self._target_left.set()

    async def _leave_with_target(self) -> None:
        """Give everything up whenever the target leaves, for ever."""
        while True:
            await self._target_left.wait()
            self._target_left = anyio.Event()
            target = self.slot.current
            await self.leave()
            if self.target_leaves:
                await _drain(target)
            else:
                self.keeper.come_back()

    async def leave(self) -> bool:
        """
        Hand units over, let work in flight end, give sessions up.

        :return: whether all work in flight ended in time.
        """
        drain = self._core.settings.drain
        moved = await self.keeper.move_away(_MOVE_AWAY_TIMEOUT_S)
        self.gate.refuse_new(Reason.DRAINING)
        drained = await self.gate.drained(drain.request_timeout_s)
        # Work that still runs must keep its units until the lease ends.
        left = drained and await self.keeper.leave(_LEAVE_TIMEOUT_S)
        logger.info(
            "left: units moved {}, work ended {}, sessions ended {}",
            moved,
            drained,
            left,
        )
        return drained

    async def _watch(self) -> None:
        """Follow configuration and target, for ever."""
        while True:
            self._follow_policy()
            self._follow_service_state()
            self._follow_progress()
            self._lease_watch.look()
            await anyio.sleep(_WATCH_EVERY_S)

    def _follow_policy(self) -> None:
        profile = self._core.folds.config.document.profile_of(self.service)
        self.gate.set_policy(gate_policy(profile))

    def _follow_service_state(self) -> None:
        if self.target_leaves or self._core.leaving:
            return
        reason = self._out_reason()
        now = self._core.clock.now()
        if reason is None:
            self._out_since = None
        elif self._out_since is None:
            self._out_since = now
        self.gate.refuse_new(reason if self._is_final(now) else None)

    def _out_reason(self) -> Reason | None:
        config = self._core.folds.config
        if self._core.identity.data_centre in config.data_centres_out:
            return Reason.DATA_CENTRE_OUT
        if self._core.identity.name in config.draining:
            return Reason.DRAINING
        return None

    def _is_final(self, now: float) -> bool:
        """Tell whether new work is refused, not only moved away."""
        if self._out_since is None:
            return False
        if self.sessions.table() is None:
            return True
        holding = any(
            session.holdings.active for session in self.sessions.admitted()
        )
        return not holding or now - self._out_since > _KEYED_GRACE_S

    def _follow_progress(self) -> None:
        for session in self.sessions.admitted():
            if session.lease is None:
                continue
            if self.gate.progressing:
                session.lease.resume()
            elif not session.lease.withheld:
                logger.warning("the target makes no progress")
                session.lease.withhold()

    def _news(self) -> SuspectNews:
        return SuspectNews(
            quarantine=self.gate.quarantine,
            folds=self._core.folds,
            sender=self._core.lease_socket,
            own_address=self._core.identity.peer_address,
        )

    async def _report_load(self) -> None:
        """Report load, less often in a large system."""
        while True:
            members = len(self._core.folds.control.sessions)
            await anyio.sleep(max(_REPORT_MIN_S, members / _REPORTS_PER_S))
            sessions = self.sessions.admitted()
            if sessions and self.sessions.table() is not None:
                report = self.meter.take_report(
                    sessions[-1].session_id, self.service
                )
                await self._core.client.load(report)


async def _drain(target: HttpTarget) -> None:
    for _ in range(_DRAIN_ATTEMPTS):
        try:
            await target.drain()
        except ConnectionRefusedError:
            return
        except ConnectionError as exc:
            logger.info("the target did not take its drain: {}", exc)
            await anyio.sleep(_WATCH_EVERY_S)
        else:
            return


def gate_policy(profile: Profile) -> GatePolicy:
    """Return the part of a profile that the gate follows."""
    return GatePolicy(
        queue_length=profile.queue_length,
        queue_wait_s=profile.queue_wait_ms / 1000,
        ramp_start=profile.ramp_start,
        ramp_step=profile.ramp_step,
    )


@asynccontextmanager
async def open_service_side(
    core: Core, info: TargetInfo
) -> AsyncIterator[ServiceSide]:
    """Build what a target needs and own it until the block ends."""
    slot = TargetSlot(info, core.clock)
    margin_s = 0.0 if info.checks_grants else _UNCHECKED_MARGIN_S
    meter = LoadMeter(core.clock)
    sessions = OwnSessions(
        service=info.service,
        folds=core.folds,
        make_lease=lambda entry: _make_lease(core, entry),
    )
    guard = Guard(
        sessions=sessions,
        folds=core.folds,
        certificates=core.certificates,
        clock=core.clock,
        margin_s=margin_s,
    )
    grants = Grants(
        slot,
        clock=core.clock,
        timing=core.timing,
        margin_s=0.0,
        checks_grants=info.checks_grants,
    )
    async with AsyncExitStack() as stack:
        stack.push_async_callback(slot.aclose)
        gate = await stack.enter_async_context(
            open_gate(
                service=info.service,
                permits=MeteredPermits(guard, meter),
                policy=gate_policy(
                    core.folds.config.document.profile_of(info.service)
                ),
                clock=core.clock,
                stall_s=core.settings.target.stall_s,
            )
        )
        gate.announced(info, slot.current)
        releaser = Releaser(
            sessions=sessions,
            folds=core.folds,
            withdraw=grants.withdraw,
            cancel=lambda permits: _cancel(gate, permits),
            release_timeout_s=core.settings.drain.release_timeout_s,
        )
        takeover = Takeover(
            sessions=sessions,
            folds=core.folds,
            certificates=core.certificates,
            client=PeerReleases(
                core.pool, 3 * core.settings.drain.release_timeout_s
            ),
            releaser=releaser,
            on_active=grants.changed,
            report=core.client.activation,
        )
        yield ServiceSide(
            core=core,
            service=info.service,
            gate=gate,
            slot=slot,
            sessions=sessions,
            takeover=takeover,
            keeper=_make_keeper(core, info, sessions, grants, gate),
            releaser=releaser,
            grants=grants,
            meter=meter,
        )


def _make_lease(core: Core, entry: SessionEntry) -> LeaseHolder:
    return LeaseHolder(
        entry, clock=core.clock, timing=core.timing, folds=core.folds
    )


def _cancel(gate: Gate, permits: list[Permit]) -> None:
    gate.cancel_permits(permits)


def _make_keeper(
    core: Core,
    info: TargetInfo,
    sessions: OwnSessions,
    grants: Grants,
    gate: Gate,
) -> SessionKeeper:
    return SessionKeeper(
        identity=core.identity,
        slots=info.slots,
        sessions=sessions,
        folds=core.folds,
        client=core.client,
        grants=grants,
        parties=core.parties,
        sender=core.lease_socket,
        witnesses=core.settings.lease.witnesses,
        clock=core.clock,
        may_open=lambda: gate.progressing,
    )
