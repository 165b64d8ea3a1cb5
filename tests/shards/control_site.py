"""Members with real coordinators and reporters, in simulated time."""

from __future__ import annotations

import asyncio

from burdockgap.fleet.datagrams import LEASE
from burdockgap.fleet.roster import Roster
from burdockgap.forward.load import Load
from burdockgap.metadata.store_error import StoreError
from burdockgap.shards.control_store import ControlStore
from burdockgap.shards.control_view import ControlView
from burdockgap.shards.coordinator import Coordinator
from burdockgap.shards.lease import Lease
from burdockgap.shards.reporter import Reporter
from tests.forward.builders import GateHarness
from tests.gate.fakes import FakeClock
from tests.ports import HOST
from tests.shards.builders import SERVICE, make_member
from tests.shards.fakes import FakeStore
from tests.sidecar.builders import make_info

TICK_S = 0.1
_TICKS_PER_REPORT = 3
_TICKS_PER_BEACON = 10
_YIELDS_PER_TICK = 5
"""Lets tasks go on whose simulated sleep is over."""


class ClockLoop:
    """An event loop's clock that shows simulated time."""

    def __init__(self, clock):
        self.time = clock.now


class MemberStore(FakeStore):
    """One member's access to the common store."""

    def __init__(self, site, name):
        self._site = site
        self._name = name

    @property
    def generation(self):
        return self._site.store.generation

    async def newest(self, topic):
        self._check_reachable()
        return await self._site.store.newest(topic)

    async def put(self, topic, key, value, *, at=None):
        self._check_reachable()
        return await self._site.store.put(topic, key, value, at=at)

    def _check_reachable(self):
        if self._name in self._site.without_store:
            raise StoreError("cut off")


class MemberDatagrams:
    """
    Delivers a member's datagrams unless the link is cut.

    They arrive at once, or after the receiver's delay.
    """

    def __init__(self, site, name):
        self._site = site
        self._name = name
        self.handlers = {}

    def send(self, address, kind, *values: object):
        name = self._site.name_at(address)
        if not self._site.reaches(self._name, name):
            return
        receiver = self._site.members[name]
        handler = receiver.datagrams.handlers.get(kind)
        if handler is None:
            return
        delay_s = self._site.delays.get(name, 0.0)
        if delay_s:
            self._site.deliver_later(receiver, handler, list(values), delay_s)
        else:
            handler(list(values))


class ControlMember:
    """The control plane of one daemon."""

    def __init__(self, site, name, incarnation):
        self.site = site
        self.name = name
        self.loop = ClockLoop(site.clock)
        self.datagrams = MemberDatagrams(site, name)
        self.view = ControlView(lambda: None)
        self.lease = Lease(site.clock)
        self.lease_term = 0
        own = make_member(
            name,
            address=site.address(name),
            incarnation=incarnation,
            capacity=site.capacities.get(name, 0),
        )
        self.roster = Roster(own, lambda _event, _fields: None)
        self.roster._loop = self.loop
        store = ControlStore(MemberStore(site, name))
        self.coordinator = Coordinator(
            roster=self.roster,
            view=self.view,
            store=store,
            datagrams=self.datagrams,
            clock=site.clock,
            keyed_services=lambda: {SERVICE},
            data_centres_out=set,
            on_event=lambda event, fields: site.log.append(
                (round(site.clock.now(), 1), name, event, fields)
            ),
        )
        gate = GateHarness()
        gate.state.announced(make_info(born=7))
        self.reporter = Reporter(
            roster=self.roster,
            view=self.view,
            store=store,
            datagrams=self.datagrams,
            clock=site.clock,
            lease=self.lease,
            target=gate.state,
            holder=lambda: None,
            load=Load,
            is_active=lambda: self.coordinator.is_active,
            claim=self.coordinator.claim,
            pull=lambda member, _version: self.fetch_state(member.name),
            on_event=lambda _event, _fields: None,
        )
        handle_lease = self.datagrams.handlers[LEASE]
        self.datagrams.handlers[LEASE] = lambda values: self._note_lease_term(
            handle_lease, values
        )
        self._next_report_at = site.clock.now()
        self._tasks = {}

    @property
    def acts(self):
        """Whether this member may act as coordinator now."""
        now = self.site.clock.now()
        return (
            self.coordinator.is_active
            and self.coordinator._authority_until() > now
        )

    @property
    def may_move_keys(self):
        """Whether it takes all leases of earlier terms as expired."""
        return self.acts and (
            self.coordinator._authority.are_earlier_leases_expired(
                self.site.clock.now()
            )
        )

    def fetch_state(self, name):
        """Take over another member's control state."""
        if self.site.reaches(self.name, name):
            self.view.adopt(self.site.members[name].view.state)

    def send_beacon(self):
        """Announce this member to all that it reaches."""
        own = self.roster.own
        own.term, own.revision = self.view.version
        own.resigning = self.coordinator.is_resigning
        own.sequence += 1
        for other in self.site.members.values():
            if other is self or not self.site.reaches(self.name, other.name):
                continue
            values = type(own).from_values(own.values())
            other.roster.record_announcement(values)
            if self.view.version > other.view.version:
                other.fetch_state(self.name)

    def step(self):
        """Begin what is due in this tick."""
        self._begin("tick", self.coordinator._tick)
        if self.site.clock.now() >= self._next_report_at:
            self._begin("report", self._report)

    def stop(self):
        """End the process."""
        for task in self._tasks.values():
            task.cancel()

    def _begin(self, what, start):
        task = self._tasks.get(what)
        if task is None or task.done():
            if task is not None:
                task.result()
            self._tasks[what] = asyncio.ensure_future(start())

    def _note_lease_term(self, handle_lease, values):
        before = self.lease.until
        handle_lease(values)
        if self.lease.until > before:
            self.lease_term = self.view.state.term

    async def _report(self):
        self.reporter._report()
        pause_s = _TICKS_PER_REPORT * TICK_S
        if self.reporter._coordinator_is_lost():
            pause_s = min(await self.reporter._try_claim(), pause_s)
        else:
            self.reporter._turn.reset()
        self._next_report_at = self.site.clock.now() + pause_s


class ControlSite:
    """
    Members, the store and the links between them.

    :param names: the members that start.
    :param capacities: how many members they can serve as coordinator.
    :ivar cut_pairs: pairs of sender and receiver that are cut.
    :ivar without_store: members that do not reach the store.
    :ivar capacities: of the members that start, 0 if not given.
    :ivar delays: how late members process datagrams, in seconds.
    :ivar log: time, member, event and fields of each decision.
    """

    def __init__(self, names, capacities=None):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.log = []
        self.cut_pairs = set()
        self.without_store = set()
        self.delays = {}
        self.capacities = capacities or {}
        self._delayed = []
        self.members = {}
        self._ticks = 0
        self._incarnations = 0
        self._ports = {}
        self._sleepers = []
        self._real_sleep = asyncio.sleep
        for name in names:
            self.start(name)

    async def sleep(self, seconds):
        """Sleep for simulated seconds; replaces ``asyncio.sleep``."""
        fut = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.clock.now() + seconds, fut))
        await fut

    def deliver_later(self, receiver, handler, values, delay_s):
        """Call a receiver's handler after a delay, unless it ended."""
        due_at = self.clock.now() + delay_s
        self._delayed.append((due_at, receiver, handler, values))

    def _deliver_delayed(self):
        now = self.clock.now()
        due = [item for item in self._delayed if item[0] <= now]
        self._delayed = [item for item in self._delayed if item[0] > now]
        for _, receiver, handler, values in due:
            if self.members.get(receiver.name) is receiver:
                handler(values)

    def stop(self, name):
        """End a member's process, if it runs."""
        member = self.members.pop(name, None)
        if member is not None:
            member.stop()

    def start(self, name):
        """Start a member; an earlier process of it has ended."""
        self._incarnations += 1
        member = ControlMember(self, name, self._incarnations)
        if self.store.value is not None:
            member.view.adopt(self.store.state)
        self.members[name] = member

    def address(self, name):
        """Return a member's address, which outlives its processes."""
        return HOST, self._ports.setdefault(name, len(self._ports) + 1)

    def name_at(self, address):
        """Return the member that has an address."""
        names = {port: name for name, port in self._ports.items()}
        return names[address[1]]

    def reaches(self, sender, receiver):
        """Return whether a datagram arrives."""
        return (
            receiver in self.members
            and (sender, receiver) not in self.cut_pairs
        )

    def cut(self, one, other):
        """Cut all links between two groups of members."""
        for first in one:
            for second in other:
                self.cut_pairs |= {(first, second), (second, first)}

    def leased(self):
        """Return the names of the members whose lease is valid."""
        now = self.clock.now()
        return [
            item.name
            for item in self.members.values()
            if item.lease.until > now
        ]

    def acting(self):
        """Return the names of the members that act as coordinator."""
        return [item.name for item in self.members.values() if item.acts]

    def check(self):
        """
        Check that no two coordinators can give out the same keys.

        A successor renews leases beside its predecessor; it must not
        move keys before that one and its leases have ended.
        """
        for item in self.members.values():
            if not item.may_move_keys:
                continue
            term = item.coordinator.term
            for other in self.members.values():
                if other.acts and other.coordinator.term < term:
                    self._fail(f"{other.name} and {item.name} act")
                if (
                    0 < other.lease_term < term
                    and other.lease.until > self.clock.now()
                ):
                    self._fail(
                        f"{other.name} has a lease of term "
                        f"{other.lease_term} while {item.name} moves keys"
                    )

    def _fail(self, what):
        raise AssertionError(f"{what}: {self.log[-12:]}")

    async def advance(self, seconds):
        """Let simulated time pass; check the invariant at each tick."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.seconds += TICK_S
            self._ticks += 1
            for number, item in enumerate(list(self.members.values())):
                if (self._ticks + number) % _TICKS_PER_BEACON == 0:
                    item.send_beacon()
            self._deliver_delayed()
            self._wake_sleepers()
            for item in list(self.members.values()):
                item.step()
            for _ in range(_YIELDS_PER_TICK):
                await self._real_sleep(0)
            self.check()

    def _wake_sleepers(self):
        now = self.clock.now()
        due = [fut for at, fut in self._sleepers if at <= now]
        self._sleepers = [item for item in self._sleepers if item[0] > now]
        for fut in due:
            if not fut.done():
                fut.set_result(None)
