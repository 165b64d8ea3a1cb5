"""The components of a daemon that all its roles share."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from burdockgap.clock import BootClock
from burdockgap.coordinator.candidacy import Candidacy
from burdockgap.coordinator.coordinator import Coordinator
from burdockgap.coordinator.coordinator_probe import CoordinatorProbe
from burdockgap.daemon.catch_up import CatchUp
from burdockgap.daemon.coordinator_client import CoordinatorClient
from burdockgap.daemon.identity import Identity
from burdockgap.fold.folds import Folds
from burdockgap.fold.loader import SnapshotLoader
from burdockgap.lease.certificates import Certificates
from burdockgap.lease.datagram_receivers import DatagramReceivers
from burdockgap.lease.socket import LeaseSocket, open_lease_socket
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.logstore.http_log import HttpLog, open_http_log
from burdockgap.logstore.tail import Tail
from burdockgap.logstore.writer import Writer
from burdockgap.metrics import Metrics
from burdockgap.peer.address import split_address
from burdockgap.peer.auth import PeerAuth
from burdockgap.peer.forward_handler import ForwardHandler
from burdockgap.peer.pool import PeerPool, open_pool
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.router.chooser import Chooser
from burdockgap.router.dispatcher import Dispatcher
from burdockgap.router.router import Router
from burdockgap.router.server_table import ServerTable
from burdockgap.settings.bind_error import binding
from burdockgap.wire.seal import Sealer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.settings import Settings


class Core:
    """
    The components that exist whether or not a target is announced.

    :param settings: the daemon's settings.
    :param identity: name, location and addresses of the daemon.
    :param clock: source of elapsed time.
    :param metrics: the daemon's metrics.
    :param log: the platform's log.
    :param pool: connections to peers.
    :param lease_socket: sends and receives lease datagrams.
    :ivar leaving: whether the daemon is about to stop.
    """

    __slots__ = (
        "candidacy",
        "catch_up",
        "certificates",
        "client",
        "clock",
        "coordinator",
        "dispatcher",
        "folds",
        "forward_handler",
        "identity",
        "lease_socket",
        "leaving",
        "log",
        "metrics",
        "coordinator_probe",
        "parties",
        "pool",
        "router",
        "server_table",
        "settings",
        "tails",
        "timing",
        "witness",
        "writer",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        clock: BootClock,
        metrics: Metrics,
        log: HttpLog,
        pool: PeerPool,
        lease_socket: LeaseSocket,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.pool = pool
        self.lease_socket = lease_socket
        self.leaving = False
        self._add_folds()
        self._add_leases()
        self._add_coordinator()
        self._add_router()

    def _add_folds(self) -> None:
        self.folds = Folds()
        loader = SnapshotLoader(self.log, self.folds)
        self.tails = {
            stream: Tail(
                self.log,
                self.folds,
                stream,
                loader,
                wait_s=self.settings.log.poll_wait_s,
            )
            for stream in (CONFIG, CONTROL)
        }
        self.writer = Writer(self.log, self.folds, self._restart_read)
        self.catch_up = CatchUp(
            folds=self.folds, tails=self.tails, pool=self.pool
        )

    def _restart_read(self, stream: str) -> None:
        self.tails[stream].restart_read()

    def _add_leases(self) -> None:
        lease = self.settings.lease
        self.timing = LeaseTiming(
            duration_s=lease.duration_s,
            renew_s=lease.renew_s,
            margin_s=lease.margin_s,
        )
        self.certificates = Certificates(self.folds)
        self.witness = Witness(
            incarnation=self.identity.incarnation,
            address=self.identity.peer_address,
            clock=self.clock,
            timing=self.timing,
            folds=self.folds,
        )
        self.parties = DatagramReceivers(
            witness=self.witness,
            certificates=self.certificates,
            on_offsets=self.catch_up.on_offsets,
        )
        self.lease_socket.parties = self.parties

    def _add_coordinator(self) -> None:
        self.coordinator = Coordinator(
            incarnation=self.identity.incarnation,
            folds=self.folds,
            writer=self.writer,
            certificates=self.certificates,
            settings=self.settings,
            clock=self.clock,
        )
        self.coordinator_probe = CoordinatorProbe(
            incarnation=self.identity.incarnation,
            folds=self.folds,
            pool=self.pool,
            local=self.coordinator,
            clock=self.clock,
        )
        self.candidacy = Candidacy(
            incarnation=self.identity.incarnation,
            name=self.identity.name,
            peer_address=self.identity.peer_address,
            folds=self.folds,
            certificates=self.certificates,
            witness=self.witness,
            writer=self.writer,
            clock=self.clock,
            confirm=self.coordinator_probe.confirms_loss,
        )
        self.client = CoordinatorClient(
            folds=self.folds,
            pool=self.pool,
            local=self.coordinator,
            candidacy=self.candidacy,
            clock=self.clock,
            claim_after_s=self.settings.coordinator.claim_after_s,
        )

    def _add_router(self) -> None:
        self.server_table = ServerTable(self.clock)
        self.dispatcher = Dispatcher(
            incarnation=self.identity.incarnation,
            pool=self.pool,
            clock=self.clock,
        )
        self.router = Router(
            folds=self.folds,
            dispatcher=self.dispatcher,
            table=self.server_table,
            chooser=Chooser(
                table=self.server_table,
                data_centre=self.identity.data_centre,
                incarnation=self.identity.incarnation,
            ),
            clock=self.clock,
            metrics=self.metrics,
        )
        self.forward_handler = ForwardHandler(
            name=self.identity.name, clock=self.clock
        )


@asynccontextmanager
async def open_core(settings: Settings) -> AsyncIterator[Core]:
    """
    Bind the lease socket and build the shared components.

    The sockets and connections are closed when the block ends.

    :raises BindError: if the peer address cannot be bound.
    """
    clock = BootClock()
    metrics = Metrics()
    secret = settings.peer.secret.encode()
    host, port = split_address(settings.peer.bind)
    pool = open_pool(
        auth=PeerAuth(secret),
        clock=clock,
        metrics=metrics,
        keepalive_s=settings.peer.keepalive_s,
    )
    async with AsyncExitStack() as stack:
        with binding("peer.bind", settings.peer.bind):
            lease_socket = await stack.enter_async_context(
                open_lease_socket(Sealer(secret), host=host, port=port)
            )
        yield Core(
            settings=settings,
            identity=Identity(settings),
            clock=clock,
            metrics=metrics,
            log=await stack.enter_async_context(
                open_http_log(settings.log.url, settings.log.timeout_s)
            ),
            pool=stack.enter_context(pool),
            lease_socket=lease_socket,
        )
