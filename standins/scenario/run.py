"""The state of a running scenario."""

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
    State that the statements of a scenario share.

    :param tasks: task group of the background tasks.
    :param stack: closes the site and the observer at the end.
    :param rng: the only source of random choices.
    :param report: called with each line of progress.
    :param relayed: whether daemons are connected through a relay.
    :ivar links: the cuts and delays that the relay applies.
    :ivar service: the service of the first planned servers.
    :ivar mutant: name of the daemons' seeded fault, "" for none.
    :ivar profile: additional lines of the profile.
    :ivar exports: the result of each export.
    :ivar crashes: number of restarts of targets that had ended.
    :ivar names: server names by the alias that ``let`` defined.
    :ivar loads: all loads so far, the newest last.
    :ivar fault_at: boot time of the last fault, in seconds.
    :ivar cut_off: names of the daemons that are cut off.
    :ivar owners: the owner of each slice at ``remember owners``.
    :ivar key_owners: the owner of each key at the last fault.
    :ivar served_after: seconds from the last fault to the first
        successful answer for each key, from the last ``expect served``
        or ``expect all served``.
    :ivar accepted: configuration versions that the API returned as
        accepted.
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
        """
        The site.

        :raises StatementFailedError: before ``start``.
        """
        if self._cluster is None:
            raise StatementFailedError(
                "the site is not running; use `start` before this statement"
            )
        return self._cluster

    @property
    def observer(self) -> Observer:
        """
        The reader of the log.

        :raises StatementFailedError: before ``start``.
        """
        if self._observer is None:
            raise StatementFailedError(
                "the site is not running; use `start` before this statement"
            )
        return self._observer

    @property
    def load(self) -> Load:
        """
        The newest load.

        :raises StatementFailedError: before the first ``load``.
        """
        if not self.loads:
            raise StatementFailedError(
                "no load was started; use `load` before this statement"
            )
        return self.loads[-1]

    async def open(self) -> Cluster:
        """Create the site from the plans; no server is started yet."""
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
        """Add a server to the site and start it."""
        server = self.cluster.add(plan)
        if self._relay is not None:
            await self._relay.add(server.route())
        server.start()
        return server

    async def observe(self) -> None:
        """Start to follow the log."""
        self._observer = await self.stack.enter_async_context(
            open_observer(self.service, self.cluster.log_url)
        )

    def copy_outputs(self, folder: Path) -> None:
        """Copy the files of the site's processes into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for file in self.cluster.folder.iterdir():
            shutil.copy(file, folder)

    def document(self) -> str:
        """Return the configuration document of the site."""
        template = KEYED_DOCUMENT if self.slices else UNKEYED_DOCUMENT
        text = template.format(service=self.service, slices=self.slices)
        return text + "\n".join([*self.profile, ""])

    def record_fault(self) -> None:
        """Record the time of a fault and the owner of each key."""
        if self.slices and self.loads and self._observer is not None:
            self.key_owners = self._observer.key_owners(self.load.keys)
        self.fault_at = boottime()

    def entry_servers(self) -> list[Server]:
        """
        Return the servers whose daemons run and are not frozen.

        :raises StatementFailedError: if there is none.
        """
        found = [
            server
            for server in self.cluster.servers.values()
            if server.daemon.answers
        ]
        if not found:
            raise StatementFailedError(
                "no daemon can take requests: all have ended or are frozen"
            )
        return found

    def connected(self) -> list[Server]:
        """Return :meth:`entry_servers` without those cut off."""
        return [
            server
            for server in self.entry_servers()
            if server.name not in self.cut_off
        ]

    def answers(self) -> list[RequestOutcome]:
        """Return the outcomes of the requests of all loads."""
        return [outcome for load in self.loads for outcome in load.answers]

    def runs(self) -> list[RunRecord]:
        """Return the runs that all targets recorded."""
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
        Return the server that a reference resolves to at present.

        :param reference: a server's name, an alias from ``let``,
            ``coordinator``, ``owner of KEY``, ``successor of KEY``,
            ``witness of KEY`` or ``witness N of KEY``.
        :raises StatementFailedError: if there is no such server.
        """
        name = self.resolve(reference)
        if name not in self.cluster.servers:
            raise StatementFailedError(f"no server is named {name!r}")
        return self.cluster.servers[name]

    def servers(self, references: str) -> list[Server]:
        """Return the servers of comma-separated references, or all."""
        if references == "all":
            return list(self.cluster.servers.values())
        return [self.server(name.strip()) for name in references.split(",")]

    def group(self, reference: str) -> set[str]:
        """
        Return the network endpoints that a reference resolves to.

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
        Return two groups of network endpoints.

        :param second: what :meth:`group` takes, ``rest`` for all
            daemons outside the first group, or ``all`` for these and
            the log.
        """
        left = self.group(first)
        if second not in ("rest", "all"):
            return left, self.group(second)
        right = set(self.cluster.servers) - left
        return left, right | ({LOG} if second == "all" else set())

    def resolve(self, reference: str) -> str:
        """Return the server name that a reference resolves to."""
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
            raise StatementFailedError(
                f"{key} has an owner with only {len(witnesses)} witnesses"
            )
        return witnesses[rank - 1]


def _mutant_launch(name: str) -> Launch:
    return Launch(command=[sys.executable, "-m", "standins.mutants", name])
