"""Construction of the components that serve the local target."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from burdockgap.daemon.current_target import CurrentTarget
from burdockgap.daemon.gate_follower import gate_policy
from burdockgap.daemon.release_client import ReleaseClient
from burdockgap.daemon.service_side import ServiceSide, lease_margin_s
from burdockgap.daemon.session_keeper import SessionKeeper
from burdockgap.gate.open_gate import open_gate
from burdockgap.lease.holder import LeaseHolder
from burdockgap.load.load_meter import LoadMeter
from burdockgap.load.metered_permits import MeteredPermits
from burdockgap.ownership.grants import Grants
from burdockgap.ownership.guard import Guard
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.ownership.releaser import Releaser
from burdockgap.ownership.takeover import Takeover

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.daemon.core import Core
    from burdockgap.gate.gate import Gate
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.target import TargetInfo


@asynccontextmanager
async def open_service_side(
    core: Core, info: TargetInfo
) -> AsyncIterator[ServiceSide]:
    """Build a service side and close it when the block ends."""
    current_target = CurrentTarget(info, core.clock)
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
        margin_s=lease_margin_s(info),
    )
    grants = Grants(
        current_target,
        clock=core.clock,
        timing=core.timing,
        margin_s=0.0,
        checks_grants=info.checks_grants,
    )
    async with AsyncExitStack() as stack:
        stack.push_async_callback(current_target.aclose)
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
        gate.announced(info, current_target.http_target)
        releaser = Releaser(
            sessions=sessions,
            folds=core.folds,
            withdraw=grants.withdraw,
            cancel=gate.cancel_permits,
            release_timeout_s=core.settings.drain.release_timeout_s,
        )
        takeover = Takeover(
            sessions=sessions,
            folds=core.folds,
            certificates=core.certificates,
            client=ReleaseClient(
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
            current_target=current_target,
            sessions=sessions,
            guard=guard,
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
