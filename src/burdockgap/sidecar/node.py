"""The parts of a daemon beside a server, put together."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

from burdockgap.clock import BootClock
from burdockgap.fleet.beacons import Beacons
from burdockgap.fleet.datagrams import CHANGES, SUSPECTS
from burdockgap.fleet.member import Member
from burdockgap.fleet.roster import Roster
from burdockgap.forward.crash_watch import CrashWatch
from burdockgap.forward.forwarder import Forwarder
from burdockgap.forward.target_gate import TargetGate
from burdockgap.forward.target_state import TargetState
from burdockgap.hop.kinds import (
    RELEASE,
)
from burdockgap.hop.link import Links
from burdockgap.http1.response import Response
from burdockgap.platform.documents import PlatformDocuments
from burdockgap.platform.names import OPERATOR_TOPIC
from burdockgap.platform.requests import decode_request
from burdockgap.platform.target_protocol import PlatformTarget
from burdockgap.routing.document_follower import DocumentFollower
from burdockgap.routing.documents import Documents
from burdockgap.shards.control_changes import ControlChanges
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.coordinator import Coordinator
from burdockgap.shards.lease import Lease
from burdockgap.shards.reporter import Reporter
from burdockgap.shards.shard_holder import ShardHolder
from burdockgap.sidecar.discovery import Discovery
from burdockgap.sidecar.gauges import add_gauges
from burdockgap.sidecar.pulls import Pulls
from burdockgap.uplink import Uplink

if TYPE_CHECKING:
    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.forward.outcome import Outcome
    from burdockgap.forward.target_info import TargetInfo
    from burdockgap.http1.request import Request
    from burdockgap.http1.server import Server
    from burdockgap.logs.line_writer import LineWriter
    from burdockgap.platform.store_client import StoreClient
    from burdockgap.shards.shard import Shard
    from burdockgap.sidecar.metrics import SidecarMetrics
    from burdockgap.sidecar.sidecar_settings import SidecarSettings

_TICK_S = 0.25
_DRAIN_MARGIN_S = 0.2
"""Time that a request may need from the decision to its arrival."""


class Node:
    """
    Everything that one daemon does.

    :param cfg: the daemon's settings.
    :param store: the platform's store.
    :param datagrams: messages to and from other daemons.
    :param lines: takes log lines.
    :param metrics: counts.
    :ivar callers: the listener for callers, once it is there.
    """

    __slots__ = (
        "_beacons",
        "_crashes",
        "callers",
        "cfg",
        "clock",
        "coordinator",
        "discovery",
        "documents",
        "follower",
        "forwarder",
        "gate",
        "holder",
        "leaving",
        "lease",
        "lines",
        "links",
        "metrics",
        "protocol",
        "pulls",
        "reporter",
        "roster",
        "store",
        "target",
        "uplink",
        "view",
    )

    def __init__(
        self,
        *,
        cfg: SidecarSettings,
        store: StoreClient,
        datagrams: Datagrams,
        lines: LineWriter,
        metrics: SidecarMetrics,
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.lines = lines
        self.metrics = metrics
        self.clock = BootClock()
        self.uplink = Uplink(cfg.link_bytes_per_s)
        self.links = Links(self.uplink)
        self.leaving = False
        self.holder: ShardHolder | None = None
        self.callers: Server | None = None
        own = Member(
            name=cfg.name,
            incarnation=secrets.randbits(62),
            address=(cfg.ip, cfg.peer_port),
            data_centre=cfg.data_centre,
            region=cfg.region,
            service=cfg.service,
        )
        self.roster = Roster(own, lines.write)
        self._add_beliefs()
        self._add_traffic()
        self._add_control(datagrams)
        datagrams.handlers[SUSPECTS] = self._take_suspects
        datagrams.handlers[CHANGES] = self._take_changes
        self.pulls = Pulls(
            links=self.links,
            view=self.view,
            documents=self.documents,
            store_lost=lambda: self.follower.lost,
            spawn=self.reporter.spawn,
            on_event=lines.write,
        )
        add_gauges(self)

    def _add_beliefs(self) -> None:
        self.documents = Documents(
            PlatformDocuments(),
            on_change=self._documents_changed,
            on_event=self.lines.write,
        )
        self.view = ControlView(self._control_changed)
        self.target = TargetState(
            drain_s=self.cfg.drain_s - _DRAIN_MARGIN_S,
            cold_rate=self._cold_rate,
            on_change=self._target_changed,
            on_event=self.lines.write,
        )
        self.lease = Lease(self.clock)

    def _add_traffic(self) -> None:
        self.protocol = PlatformTarget()
        self._crashes = CrashWatch(
            service=self.cfg.service,
            clock=self.clock,
            tell=self._tell_suspects,
            on_event=self.lines.write,
        )
        self.gate = TargetGate(
            service=self.cfg.service,
            state=self.target,
            protocol=self.protocol,
            out_since=lambda: self.documents.data_centres_out.get(
                self.cfg.data_centre
            ),
            uplink=self.uplink,
            crashes=self._crashes,
            on_event=self.lines.write,
            on_outcome=self._count_outcome,
        )
        self.forwarder = Forwarder(
            roster=self.roster,
            documents=self.documents,
            view=self.view,
            gate=self.gate,
            links=self.links,
            budget_ratio=self.cfg.budget_ratio,
            budget_extra=self.cfg.budget_extra,
            budget_window_s=self.cfg.budget_window_s,
            on_event=self.lines.write,
            on_answer=self._count_answer,
        )

    def _add_control(self, datagrams: Datagrams) -> None:
        self._beacons = Beacons(
            datagrams,
            self.roster,
            refresh=self._refresh,
            on_member=self._heard,
        )
        control = ControlStore(self.store)
        self.coordinator = Coordinator(
            roster=self.roster,
            view=self.view,
            store=control,
            datagrams=datagrams,
            clock=self.clock,
            keyed_services=self._keyed_services,
            data_centres_out=lambda: set(self.documents.data_centres_out),
            on_event=self.lines.write,
        )
        self.reporter = Reporter(
            roster=self.roster,
            view=self.view,
            store=control,
            datagrams=datagrams,
            clock=self.clock,
            lease=self.lease,
            target=self.target,
            holder=lambda: self.holder,
            load=lambda: self.gate.load,
            is_active=lambda: self.coordinator.is_active,
            claim=self.coordinator.claim,
            pull=lambda member, version: self.pulls.table(member, version),
            on_event=self.lines.write,
        )
        self.follower = DocumentFollower(
            store=self.store,
            topic=OPERATOR_TOPIC,
            documents=self.documents,
            is_coordinator=lambda: self.coordinator.is_active,
            on_event=self.lines.write,
        )
        self.discovery = Discovery(
            store=self.store, roster=self.roster, on_event=self.lines.write
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may come."""
        return (
            not self.leaving
            and self.documents.config is not None
            and (self.discovery.has_read or len(self.roster.live()) > 1)
        )

    async def answer_caller(self, req: Request) -> Response:
        """Answer a caller."""
        try:
            wanted = decode_request(req)
        except ValueError as exc:
            self.lines.write("bad_request", {"why": str(exc)})
            return Response(400)
        return await self.forwarder.serve(wanted)

    def announced(self, info: TargetInfo) -> None:
        """Take a heartbeat of the server beside this daemon."""
        if info.service != self.cfg.service:
            self.lines.write(
                "foreign_heartbeat",
                {"target": info.target_id, "service": info.service},
            )
            return
        self.target.announced(info)

    async def run(self) -> None:
        """Do the daemon's own work until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for part in (
                self.follower.run,
                self.discovery.run,
                self._beacons.run,
                self.reporter.run,
                self.coordinator.run,
                self._watch,
                self._run_holder,
            ):
                tasks.create_task(part())

    def begin_leaving(self) -> None:
        """Tell all others that this daemon is about to stop."""
        self.leaving = True
        self.gate.leaving = True
        self._beacons.changed()

    def stop_taking(self) -> None:
        """Refuse all new work as not run."""
        self.forwarder.closed = True
        self.gate.closed = True

    @property
    def in_flight(self) -> int:
        """Requests that somebody waits for here."""
        callers = self.callers.in_flight if self.callers else 0
        return callers + self.gate.in_flight

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.target.check_silence(self.gate.in_flight)
            self.lines.flush()

    async def _run_holder(self) -> None:
        while self.holder is None:
            await asyncio.sleep(_TICK_S)
        await self.holder.run()

    def _tell_suspects(self, values: list[Any]) -> None:
        self._beacons.broadcast(SUSPECTS, values)

    def _take_suspects(self, values: list[Any]) -> None:
        self._crashes.merge(values[0])

    def _take_changes(self, values: list[Any]) -> None:
        changed = ControlChanges.decode(values[0]).apply_to(self.view.state)
        if changed is not None:
            self.view.adopt(changed)

    def _count_answer(self, status: int, seconds: float) -> None:
        self.metrics.requests.labels(status).inc()
        self.metrics.latency.observe(seconds)

    def _count_outcome(self, outcome: Outcome, seconds: float) -> None:
        reason = outcome.reason.value if outcome.reason else ""
        self.metrics.outcomes.labels(outcome.verdict.value, reason).inc()
        self.metrics.target_time.observe(seconds)

    def _cold_rate(self) -> float | None:
        config = self.documents.config
        if config is None:
            return None
        policy = config.services.get(self.cfg.service)
        return policy.cold_rate if policy else None

    def _keyed_services(self) -> set[str]:
        config = self.documents.config
        if config is None:
            return set()
        return {
            policy.name for policy in config.services.values() if policy.keyed
        }

    def _refresh(self) -> None:
        own = self.roster.own
        info = self.target.info
        own.target_id = info.target_id if info else ""
        own.born = self.target.born
        own.slots = info.slots if info else 0
        own.takes_work = self.target.takes_work
        own.leaving = self.leaving
        own.resigning = self.coordinator.is_resigning
        own.load = self.gate.load
        own.documents = self.documents.end
        own.term, own.revision = self.view.version

    def _target_changed(self) -> None:
        self.gate.target_changed()
        if self.holder is not None:
            self.holder.adopt(self.view.state)
        self._beacons.changed()

    def _documents_changed(self) -> None:
        config = self.documents.config
        if config is not None:
            if self.callers is not None:
                self.callers.limits = config.limits
            policy = config.services.get(self.cfg.service)
            if policy is not None and policy.keyed and self.holder is None:
                self._add_holder()
        self._beacons.changed()

    def _add_holder(self) -> None:
        self.holder = self.gate.holder = ShardHolder(
            service=self.cfg.service,
            name=self.cfg.name,
            clock=self.clock,
            lease=self.lease,
            state=self.target,
            protocol=self.protocol,
            release=self._ask_release,
            on_event=self.lines.write,
        )
        self.holder.adopt(self.view.state)

    def _control_changed(self) -> None:
        if self.holder is not None:
            self.holder.adopt(self.view.state)

    def _heard(self, member: Member) -> None:
        self.pulls.table(member, (member.term, member.revision))
        self.pulls.all_documents(member)

    async def _ask_release(
        self, name: str, shard: Shard, fence: int
    ) -> str | None:
        member = self.roster.member(name)
        if member is None or not self.roster.is_alive(name):
            return None
        answer: str | None = await self.links.call(
            member.address,
            RELEASE,
            [self.cfg.service, shard.first, shard.last, fence],
        )
        return answer
