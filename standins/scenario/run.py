"""The state of a scenario that is being carried out."""

from __future__ import annotations

import shutil
import sys
import time
from typing import TYPE_CHECKING

from standins.cluster import open_cluster
from standins.cluster.launch import Launch
from standins.history.read import read_runs
from standins.relay import Links
from standins.relay.links import LOG
from standins.scenario.observer import Observer, open_observer
from standins.scenario.scenario_error import StatementFailedError
from standins.target_grants import boottime

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from contextlib import AsyncExitStack
    from pathlib import Path

    from anyio.abc import TaskGroup

    from standins.cluster import Cluster, Server, ServerPlan
    from standins.history.request_outcome import RequestOutcome
    from standins.history.run_record import RunRecord
    from standins.relay import Relay
    from standins.scenario.load import Load

KEYED_DOCUMENT = """\
[services.{service}]
keyed = true
slices = {slices}
profile = "lookup"
path_prefix = "/{service}"

[profiles.lookup]
idempotent = true
deadline_ms = 4000
"""


UNKEYED_DOCUMENT = """\
[services.{service}]
profile = "lookup"
path_prefix = "/{service}"

[profiles.lookup]
deadline_ms = 4000
"""


class Run:
    """
    What the statements of a scenario share.

    :param tasks: owns what runs in the background.
    :param stack: owns the site.
    :param rng: the only source of chance.
    :param say: takes a line of progress.
    :param relayed: whether daemons are connected through a relay.
    :ivar links: what the relay does.
    :ivar service: the keyed service of the first servers.
    :ivar mutant: name of the daemons' seeded fault, "" for none.
    :ivar profile: further lines of the profile.
    :ivar exports: how each export ended.
    :ivar crashes: targets that ended and were started again.
    :ivar names: names given by ``let``.
    :ivar loads: every load so far.
    :ivar fault_at: clock time of the last fault.
    :ivar cut_off: names of the daemons that are cut off.
    :ivar owners: the owner of each slice, if remembered.
    :ivar key_owners: the owner of each key at the last fault.
    :ivar served_after: seconds from the last fault to the first answer
        for each key, as last expected.
    :ivar accepted: versions that operators were told.
    """

    def __init__(
        self,
        *,
        tasks: TaskGroup,
        stack: AsyncExitStack,
        rng: random.Random,
        report: Callable[[str], None],
        relayed: bool,
    ) -> None:
        self.tasks = tasks
        self.stack = stack
        self.rng = rng
        self.report = report
        self.links = Links()
        self._relayed = relayed
        self._relay: Relay | None = None
        self.plans: list[ServerPlan] = []
        self.settings: list[str] = []
        self.mutant = ""
        self.service = ""
        self.profile: list[str] = []
        self.exports: list[str] = []
        self.crashes = 0
        self.slices = 32
        self.names: dict[str, str] = {}
        self.loads: list[Load] = []
        self.fault_at = boottime()
        self.cut_off: set[str] = set()
        self.key_owners: dict[str, str] = {}
        self.served_after: dict[str, float] = {}
        self.accepted: list[int] = []
        self.owners: dict[int, str] = {}
        self._started_at = time.monotonic()
        self._cluster: Cluster | None = None
        self._observer: Observer | None = None

    def elapsed_s(self) -> float:
        """Return the time since the scenario began."""
        return time.monotonic() - self._started_at

    @property
    def cluster(self) -> Cluster:
        """The site; there is one after ``start``."""
        if self._cluster is None:
            raise StatementFailedError("`start` comes first")
        return self._cluster

    @property
    def observer(self) -> Observer:
        """The reader of the log; there is one after ``start``."""
        if self._observer is None:
            raise StatementFailedError("`start` comes first")
        return self._observer

    @property
    def load(self) -> Load:
        """The newest load."""
        if not self.loads:
            raise StatementFailedError("`load` comes first")
        return self.loads[-1]

    async def open(self) -> Cluster:
        """Build the site from the plans; nothing is started yet."""
        extra = "\n".join(self.settings)
        self._cluster = await self.stack.enter_async_context(
            open_cluster(
                self.plans,
                extra=extra,
                program=_mutant_launch(self.mutant) if self.mutant else None,
                relayed=self._relayed,
            )
        )
        if self._relayed:
            self._relay = self._cluster.relay(self.links)
            await self.tasks.start(self._relay.run)
        return self._cluster

    async def add(self, plan: ServerPlan) -> Server:
        """Start one more server."""
        server = self.cluster.add(plan)
        if self._relay is not None:
            await self._relay.add(server.route())
        server.start()
        return server

    async def observe(self) -> None:
        """Begin to read the log."""
        self._observer = await self.stack.enter_async_context(
            open_observer(self.service, self.cluster.log_url)
        )

    def copy_outputs(self, folder: Path) -> None:
        """Copy what the processes wrote so far into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for file in self.cluster.folder.iterdir():
            shutil.copy(file, folder)

    def document(self) -> str:
        """Return the configuration that is published first."""
        template = KEYED_DOCUMENT if self.slices else UNKEYED_DOCUMENT
        text = template.format(service=self.service, slices=self.slices)
        return text + "\n".join([*self.profile, ""])

    def record_fault(self) -> None:
        """Note that a fault happens now, and who owns which key."""
        if self.slices and self.loads and self._observer is not None:
            self.key_owners = self._observer.key_owners(self.load.keys)
        self.fault_at = boottime()

    def entry_servers(self) -> list[Server]:
        """Return the servers whose daemons can be asked."""
        found = [
            server
            for server in self.cluster.servers.values()
            if server.daemon.answers
        ]
        if not found:
            raise StatementFailedError("no daemon runs")
        return found

    def connected(self) -> list[Server]:
        """Return :meth:`entry_servers` without those cut off."""
        return [
            server
            for server in self.entry_servers()
            if server.name not in self.cut_off
        ]

    def answers(self) -> list[RequestOutcome]:
        """Return what all callers were told."""
        return [outcome for load in self.loads for outcome in load.answers]

    def runs(self) -> list[RunRecord]:
        """Return what all targets ran."""
        found = []
        for server in self.cluster.servers.values():
            found += read_runs(
                server.history_file,
                target=server.name,
                service=server.plan.service,
            )
        return found

    def server(self, reference: str) -> Server:
        """
        Return the server that a reference means now.

        :param reference: a name, one given by ``let``, ``coordinator``
            or ``owner|successor|witness of KEY``.
        """
        name = self.resolve(reference)
        if name not in self.cluster.servers:
            raise StatementFailedError(f"no server is named {name!r}")
        return self.cluster.servers[name]

    def servers(self, references: str) -> list[Server]:
        """Return the servers that references with commas mean now."""
        if references == "all":
            return list(self.cluster.servers.values())
        return [self.server(name.strip()) for name in references.split(",")]

    def group(self, reference: str) -> set[str]:
        """
        Return the ends that a reference means now.

        :param reference: ``log``, a data centre, a region, ``witnesses
            of KEY``, or what :meth:`server` takes.
        """
        if reference == LOG:
            return {LOG}
        if reference.startswith("witnesses of "):
            return set(self.observer.witnesses(reference.split()[-1]))
        members = {
            name
            for name, server in self.cluster.servers.items()
            if reference in (server.plan.data_centre, server.plan.region)
        }
        return members or {self.server(reference).name}

    def groups(self, first: str, second: str) -> tuple[set[str], set[str]]:
        """
        Return two groups of ends.

        :param second: also ``rest``, all daemons outside the first
            group, or ``all``, these and the log.
        """
        left = self.group(first)
        if second not in ("rest", "all"):
            return left, self.group(second)
        right = set(self.cluster.servers) - left
        return left, right | ({LOG} if second == "all" else set())

    def resolve(self, reference: str) -> str:
        """Return the name that a reference stands for."""
        role, _, key = reference.partition(" of ")
        role, _, rank = role.strip().partition(" ")
        if role == "coordinator":
            return self.observer.coordinator()
        if key and role == "owner":
            return self.observer.owner(key.strip())
        if key and role == "successor":
            return self.observer.successor(key.strip())
        if key and role == "witness":
            return self._witness(key.strip(), int(rank or 1))
        return self.names.get(reference, reference)

    def _witness(self, key: str, rank: int) -> str:
        witnesses = self.observer.witnesses(key)
        if not 0 < rank <= len(witnesses):
            raise StatementFailedError(f"{key} has {len(witnesses)} witnesses")
        return witnesses[rank - 1]


def _mutant_launch(name: str) -> Launch:
    return Launch(command=[sys.executable, "-m", "standins.mutants", name])
