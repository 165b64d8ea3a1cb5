"""Assembly of the components of a sidecar daemon."""

from __future__ import annotations

import asyncio
import secrets
from functools import partial
from typing import TYPE_CHECKING, Any

from burdockgap.accounts.admission import AccountAdmission
from burdockgap.accounts.key_audit import KeyAudit
from burdockgap.accounts.quotas import Quotas
from burdockgap.clock import BootClock
from burdockgap.downlink import Downlink
from burdockgap.fleet.beacons import Beacons
from burdockgap.fleet.datagrams import CHANGES
from burdockgap.fleet.member import Member
from burdockgap.fleet.roster import Roster
from burdockgap.forward.departures import Departures
from burdockgap.forward.forwarder import Forwarder
from burdockgap.forward.target_gate import TargetGate
from burdockgap.forward.target_state import TargetState
from burdockgap.hop.call_kinds import (
    RELEASE,
)
from burdockgap.hop.peer_connections import PeerConnections
from burdockgap.http1.response import Response
from burdockgap.platform.documents import PlatformDocuments
from burdockgap.platform.names import OPERATOR_TOPIC
from burdockgap.platform.requests import decode_request
from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.resources.memory_budget import MemoryBudget
from burdockgap.routing.document_follower import DocumentFollower
from burdockgap.routing.documents import Documents
from burdockgap.shards.control_changes import ControlChanges
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.coordinator import Coordinator
from burdockgap.shards.coordinator_capacity import coordinator_capacity
from burdockgap.shards.lease import Lease
from burdockgap.shards.reporter import Reporter
from burdockgap.shards.shard_holder import ShardHolder
from burdockgap.sidecar.crash_detection import CrashDetection
from burdockgap.sidecar.departure_store import DepartureStore
from burdockgap.sidecar.discovery import Discovery
from burdockgap.sidecar.gauges import add_gauges
from burdockgap.sidecar.peer_fetcher import PeerFetcher
from burdockgap.sidecar.supervision import keep_running
from burdockgap.sidecar.target_heartbeats import TargetHeartbeats
from burdockgap.uplink import Uplink

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.fleet.datagrams import Datagrams
    from burdockgap.forward.outcome import Outcome
    from burdockgap.http1.request import Request
    from burdockgap.http1.server import Server
    from burdockgap.logs.line_writer import LineWriter
    from burdockgap.platform.store_client import StoreClient
    from burdockgap.resources.link_usage import LinkUsage
    from burdockgap.shards.shard import Shard
    from burdockgap.sidecar.metrics import SidecarMetrics
    from burdockgap.sidecar.sidecar_settings import SidecarSettings

_CHECK_INTERVAL_S = 0.25
_DRAIN_MARGIN_S = 0.2
"""Time from the decision to send a request to its arrival."""
_CONFIRM_TIMEOUT_S = 0.8
"""Below the second within which a server expects an acknowledgement."""


_BUFFER_RESERVE_SHARE = 0.125
"""Of the memory for messages; large ones leave it to small requests,
half of it to heartbeats, readiness checks and scrapes alone."""


class Node:
    """
    One daemon: creates its components and connects them.

    :param cfg: the daemon's settings.
    :param store: client of the platform's store.
    :param link: measures the use of the machine's network link.
    :param datagrams: sends and receives datagrams of other daemons.
    :param event_log: writer of structured log lines.
    :param metrics: the daemon's metrics.
    :ivar crashes: detects requests that crash targets.
    :ivar datagrams: sends and receives datagrams of other daemons.
    :ivar buffers: limits the bodies and frames of all connections.
    :ivar caller_server: the HTTP server for callers, ``None`` before it
        is created.
    :ivar heartbeats: processes those of the target.
    :ivar holder: holds the target's keys, ``None`` unless its service
        is known to be keyed.
    :ivar leaving: whether the daemon is shutting down.
    :ivar peers_busy: returns whether calls of peers are in progress.
    """

    __slots__ = (
        "_beacons",
        "_departure_store",
        "_is_coordinator",
        "_key_audit",
        "buffers",
        "caller_server",
        "cfg",
        "clock",
        "coordinator",
        "crashes",
        "datagrams",
        "discovery",
        "downlink",
        "documents",
        "follower",
        "forwarder",
        "gate",
        "heartbeats",
        "holder",
        "leaving",
        "lease",
        "link",
        "event_log",
        "peer_connections",
        "peers_busy",
        "metrics",
        "protocol",
        "quotas",
        "peer_fetcher",
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
        link: LinkUsage,
        datagrams: Datagrams,
        event_log: LineWriter,
        metrics: SidecarMetrics,
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.datagrams = datagrams
        store.generation.on_restored = self._store_restored
        self.event_log = event_log
        self.metrics = metrics
        self.clock = BootClock()
        self.uplink = Uplink(cfg.link_bytes_per_s)
        self.downlink = Downlink(cfg.link_bytes_per_s)
        self.buffers = MemoryBudget(
            cfg.buffer_bytes, reserve_share=_BUFFER_RESERVE_SHARE
        )
        self.buffers.on_full = self._free_memory
        self.link = link
        datagrams.counter = link.counters["datagrams"]
        self.peer_connections = PeerConnections(
            self.uplink,
            self.buffers,
            counter=link.counters["peers"],
            downlink=self.downlink,
            on_opened=partial(link.note_opening, "peers"),
        )
        self.peers_busy: Callable[[], bool] = lambda: False
        self._is_coordinator = False
        self.leaving = False
        self.holder: ShardHolder | None = None
        self.caller_server: Server | None = None
        own = Member(
            name=cfg.name,
            incarnation=secrets.randbits(62),
            address=(cfg.ip, cfg.peer_port),
            data_centre=cfg.data_centre,
            region=cfg.region,
            service=cfg.service,
            capacity=coordinator_capacity(cfg.cores, cfg.link_bytes_per_s),
        )
        self.roster = Roster(own, event_log.write)
        self._add_state()
        self._add_accounts(datagrams)
        self._add_data_path()
        self._add_control_plane(datagrams)
        datagrams.handlers[CHANGES] = self._apply_changes
        self.peer_fetcher = PeerFetcher(
            peer_connections=self.peer_connections,
            view=self.view,
            documents=self.documents,
            store_lost=lambda: self.follower.lost,
            spawn=self.reporter.spawn,
            on_event=event_log.write,
        )
        add_gauges(self)

    def _add_state(self) -> None:
        self.documents = Documents(
            PlatformDocuments(),
            on_change=self._documents_changed,
            on_event=self.event_log.write,
        )
        self.view = ControlView(self._control_changed)
        departures = Departures()
        self._departure_store = DepartureStore(
            store=self.store,
            name=self.cfg.name,
            departures=departures,
            knows_peers=lambda: len(self.roster.live()) > 1,
            on_event=self.event_log.write,
            on_read=lambda: self.heartbeats.departures_read(),
            on_records=lambda records: self.crashes.store.adopt(records),
        )
        self.target = TargetState(
            drain_s=self.cfg.drain_s - _DRAIN_MARGIN_S,
            cold_rate=self._cold_rate,
            departures=departures,
            on_change=self._target_changed,
            on_event=self.event_log.write,
        )
        self.lease = Lease(self.clock)

    def _add_accounts(self, datagrams: Datagrams) -> None:
        self.quotas = Quotas(
            roster=self.roster,
            datagrams=datagrams,
            bounds=self.cfg.quota_bounds,
            knows_members=lambda: self.discovery.has_read,
        )
        self._key_audit = KeyAudit(self.event_log.write)

    def _add_data_path(self) -> None:
        self.protocol = PlatformTargetProtocol()
        self.crashes = CrashDetection(
            cfg=self.cfg,
            clock=self.clock,
            store=self.store,
            datagrams=self.datagrams,
            roster=self.roster,
            on_event=self.event_log.write,
        )
        self.heartbeats = TargetHeartbeats(
            service=self.cfg.service,
            target=self.target,
            crashes=self.crashes.watch,
            knows_departures=lambda: self._departure_store.loaded,
            on_event=self.event_log.write,
        )
        self.gate = TargetGate(
            service=self.cfg.service,
            state=self.target,
            protocol=self.protocol,
            out_since=lambda: self.documents.data_centres_out.get(
                self.cfg.data_centre
            ),
            uplink=self.uplink,
            downlink=self.downlink,
            crashes=self.crashes.watch,
            buffers=self.buffers,
            on_event=self.event_log.write,
            on_outcome=self._count_outcome,
            on_wait=self._count_wait,
        )
        self.roster.own_load = lambda: self.gate.load
        self.forwarder = Forwarder(
            roster=self.roster,
            documents=self.documents,
            view=self.view,
            gate=self.gate,
            crashes=self.crashes.watch,
            peer_connections=self.peer_connections,
            accounts=AccountAdmission(
                self.quotas, on_decision=self.metrics.count_account_decision
            ),
            clock=self.clock,
            budget_ratio=self.cfg.budget_ratio,
            budget_extra=self.cfg.budget_extra,
            budget_window_s=self.cfg.budget_window_s,
            on_event=self.event_log.write,
            on_answer=self._count_answer,
        )

    def _add_control_plane(self, datagrams: Datagrams) -> None:
        self._beacons = Beacons(
            datagrams,
            self.roster,
            refresh=self._refresh_own_member,
            on_member=self._on_member_heard,
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
            on_event=self.event_log.write,
            on_deferred=lambda: self.follower.refresh(),
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
            pull=lambda member, version: (
                self.peer_fetcher.request_control_state(member, version)
            ),
            on_event=self.event_log.write,
        )
        self.follower = DocumentFollower(
            store=self.store,
            topic=OPERATOR_TOPIC,
            documents=self.documents,
            # Without a coordinator, nobody else reads changes in time.
            polls_often=lambda: (
                self.coordinator.is_active
                or self.coordinator.is_claim_deferred
            ),
            on_event=self.event_log.write,
        )
        self.discovery = Discovery(
            store=self.store, roster=self.roster, on_event=self.event_log.write
        )

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is ready for callers' requests."""
        return (
            not self.leaving
            and self.documents.config is not None
            and (self.discovery.has_read or len(self.roster.live()) > 1)
        )

    async def answer_caller(self, req: Request) -> Response:
        """Forward a caller's request and return the response."""
        try:
            caller_req = decode_request(req)
        except ValueError as exc:
            self.event_log.write("bad_request", {"why": str(exc)})
            return Response(400)
        return await self.forwarder.serve(caller_req)

    def may_overlap(self, req: Request) -> bool:
        """Return whether a request may run beside pipelined others."""
        return self.forwarder.is_idempotent(req.header("host") or "", req.path)

    async def confirm_departures(self) -> bool:
        """Wait until the store has all departures, within a limit."""
        return await self._departure_store.wait_until_saved(_CONFIRM_TIMEOUT_S)

    async def run(self) -> None:
        """Run the tasks of all components until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for run_component in (
                self.follower.run,
                self.discovery.run,
                self._departure_store.run,
                self._beacons.run,
                self.reporter.run,
                self.coordinator.run,
                self.quotas.run,
                self.crashes.exchange.run,
                self.crashes.store.run,
                self._run_checks,
                self._run_holder,
            ):
                tasks.create_task(
                    keep_running(run_component, on_event=self.event_log.write)
                )

    def begin_shutdown(self) -> None:
        """Announce to the other daemons that this one is leaving."""
        self.leaving = True
        self.gate.leaving = True
        self._beacons.changed()

    def refuse_longer_than(self, seconds: float, *, idempotent: bool) -> None:
        """
        Refuse new requests that may take longer than this.

        :param idempotent: whether idempotent ones are refused as well.
        """
        ends_at = asyncio.get_running_loop().time() + seconds
        self.forwarder.ends_at = self.gate.ends_at = ends_at
        if idempotent:
            self.forwarder.idempotent_ends_at = ends_at

    def stop_accepting(self) -> None:
        """Refuse all new requests with the verdict "not run"."""
        self.forwarder.closed = True
        self.gate.closed = True

    @property
    def in_flight(self) -> int:
        """Number of requests in progress, unsent responses included."""
        caller_requests = (
            self.caller_server.in_flight if self.caller_server else 0
        )
        return caller_requests + self.gate.in_flight + self.peers_busy()

    async def _run_checks(self) -> None:
        now = asyncio.get_running_loop().time
        while True:
            due = now() + _CHECK_INTERVAL_S
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.link.check(now(), loop_delay_s=now() - due)
            self.target.check_silence(self.gate.in_flight)
            self.event_log.flush()

    async def _run_holder(self) -> None:
        while self.holder is None:
            await asyncio.sleep(_CHECK_INTERVAL_S)
        await self.holder.run()

    def _apply_changes(self, values: list[Any]) -> None:
        changed = ControlChanges.decode(values[0]).apply_to(self.view.state)
        if changed is not None:
            self.view.adopt(changed)

    def _store_restored(self, before: int, after: int) -> None:
        self.follower.refresh()
        self._departure_store.write_again()
        self.crashes.store.write_again()
        fields: dict[str, object] = {"from": before, "to": after}
        fields["offset"] = self.documents.position[1]
        fields["control"] = list(self.view.version)
        self.event_log.write("store_restored", fields)

    def _free_memory(self, missing_bytes: int) -> None:
        used_before = self.buffers.used
        self.gate.free_responses(missing_bytes)
        missing_bytes -= used_before - self.buffers.used
        if missing_bytes > 0 and self.caller_server is not None:
            self.caller_server.free_memory(missing_bytes)

    def note_shed(self, reason: str, peer: str, held_bytes: int) -> None:
        """Count and log a connection closed for lack of resources."""
        self.metrics.shed_connections.labels(reason).inc()
        self.event_log.write(
            "shed", {"reason": reason, "peer": peer, "bytes": held_bytes}
        )

    def _count_answer(self, status: int, seconds: float) -> None:
        self.metrics.requests.labels(status).inc()
        self.metrics.latency.observe(seconds)

    def _count_outcome(self, outcome: Outcome, seconds: float) -> None:
        reason = outcome.reason.value if outcome.reason else ""
        self.metrics.outcomes.labels(outcome.verdict.value, reason).inc()
        self.metrics.target_time.observe(seconds)
        if outcome.nested:
            self.metrics.nested_outcomes.labels(
                outcome.verdict.value, reason
            ).inc()

    def _count_wait(self, predicted_s: float, actual_s: float) -> None:
        self.metrics.predicted_wait.observe(predicted_s)
        self.metrics.queue_wait.observe(actual_s)

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

    def _refresh_own_member(self) -> None:
        own = self.roster.own
        info = self.target.info
        own.target_id = info.target_id if info else ""
        own.born = self.target.born
        own.slots = info.slots if info else 0
        own.takes_work = self.target.takes_work
        own.leaving = self.leaving
        own.resigning = self.coordinator.is_resigning
        own.load = self.gate.load
        own.notice = self.target.known_notice
        own.documents = self.documents.position
        own.config_version = self.documents.config_version
        own.term, own.revision = self.view.version

    def _target_changed(self) -> None:
        self.gate.target_changed()
        if self.holder is not None:
            self.holder.adopt(self.view.state)
        self._beacons.changed()

    def _documents_changed(self) -> None:
        self.follower.refresh()
        config = self.documents.config
        if config is not None:
            accounts = config.accounts
            self._key_audit.note(accounts, config.version)
            self.quotas.configure(accounts.accounts if accounts else {})
            if self.caller_server is not None:
                self.caller_server.limits = config.limits
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
            release=self._request_release,
            on_event=self.event_log.write,
        )
        self.holder.adopt(self.view.state)

    def _control_changed(self) -> None:
        if self.coordinator.is_active != self._is_coordinator:
            self._is_coordinator = self.coordinator.is_active
            self.follower.refresh()
        self.lease.follow(self.view.state.lineage)
        if self.holder is not None:
            self.holder.adopt(self.view.state)

    def _on_member_heard(self, member: Member) -> None:
        self.crashes.exchange.member_heard(member)
        self.store.generation.note(member.documents[0])
        self.peer_fetcher.request_control_state(
            member, (member.term, member.revision)
        )
        self.peer_fetcher.request_documents(member)

    async def _request_release(
        self, name: str, shard: Shard, fence: int
    ) -> str | None:
        member = self.roster.member(name)
        if member is None or not self.roster.is_alive(name):
            return None
        answer: str | None = await self.peer_connections.call(
            member.address,
            RELEASE,
            [self.cfg.service, shard.first, shard.last, fence],
        )
        return answer
