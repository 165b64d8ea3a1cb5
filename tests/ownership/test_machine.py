"""Stateful tests of leases, certificates, activations and releases."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.ownership.messages.activation_report import ActivationReport
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.messages.released import Released
from tests.ownership.world import KEYS, PINS, TIMING, UNITS, World

_DAEMONS = st.integers(0, 3)
_KEYS = st.sampled_from(KEYS)
_IN_TRANSIT_LIMIT = 200


class Ownership(RuleBasedStateMachine):
    """Four daemons over a lossy network with stale folds."""

    @initialize(owners=st.lists(_DAEMONS, min_size=2, max_size=2))
    def begin(self, owners):
        self.world = World()
        for unit, owner in enumerate(owners):
            self.world.assign(unit, owner)
        self.world.settle()
        self.world.renew_all()

    def _live(self, index):
        daemon = self.world.daemon(index)
        return None if daemon.frozen else daemon

    @rule(dt=st.sampled_from([0.05, 0.3, 0.6, 1.1, 1.4]))
    def tick(self, dt):
        self.world.clock.time += dt

    @rule(isolated=st.sets(_DAEMONS, max_size=2))
    def pass_time(self, isolated):
        renewing = [index for index in range(4) if index not in isolated]
        self.world.pass_time(TIMING.expiry_s + TIMING.renew_s, *renewing)

    @rule(index=_DAEMONS, count=st.sampled_from([1, 2, 1000]))
    def fold(self, index, count):
        daemon = self._live(index)
        if daemon is not None:
            daemon.fold(count)

    @rule(index=_DAEMONS)
    def jump(self, index):
        """Install the newest snapshot, which skips records."""
        daemon = self._live(index)
        if daemon is not None:
            daemon.install_snapshot()

    @rule(index=_DAEMONS)
    def renew(self, index):
        daemon = self._live(index)
        if daemon is not None:
            daemon.renew()
            self.world.deliver_all(Renew, Ack)

    @rule()
    def renew_all(self):
        self.world.renew_all()

    @rule(index=_DAEMONS)
    def renew_unheard(self, index):
        """Send renewals that may be delivered late or never."""
        daemon = self._live(index)
        if (
            daemon is not None
            and len(self.world.in_transit) < _IN_TRANSIT_LIMIT
        ):
            daemon.renew()

    @rule(index=_DAEMONS)
    def push(self, index):
        daemon = self._live(index)
        if daemon is not None:
            daemon.push()

    @rule()
    def push_all(self):
        for index in range(4):
            self.push(index)
        self.world.deliver_all(Promise)

    @rule(index=_DAEMONS)
    def ask(self, index):
        daemon = self._live(index)
        if daemon is not None:
            daemon.ask()

    @rule(index=_DAEMONS)
    def ask_and_answer(self, index):
        self.ask(index)
        self.world.deliver_all(Release, Released)

    @rule(index=_DAEMONS)
    def report(self, index):
        daemon = self._live(index)
        if daemon is not None:
            daemon.report()
            self.world.deliver_all(ActivationReport)

    @rule(position=st.integers(0, 1000), duplicate=st.booleans())
    def deliver(self, position, duplicate):
        if not self.world.in_transit:
            return
        position %= len(self.world.in_transit)
        envelope = self.world.in_transit[position]
        if not duplicate:
            del self.world.in_transit[position]
        self.world.deliver(envelope)

    @rule(position=st.integers(0, 1000))
    def drop(self, position):
        if self.world.in_transit:
            del self.world.in_transit[position % len(self.world.in_transit)]

    @rule(index=_DAEMONS)
    def freeze_or_thaw(self, index):
        daemon = self.world.daemon(index)
        daemon.frozen = not daemon.frozen

    @rule(index=_DAEMONS)
    def restart(self, index):
        self.world.restart(index)

    @rule(index=_DAEMONS)
    def second_session(self, index):
        if self._live(index) is not None:
            self.world.add_session(index)

    @rule(unit=st.sampled_from(UNITS), index=_DAEMONS)
    def assign(self, unit, index):
        self.world.assign(unit, index)

    @rule(pin=st.sampled_from(PINS))
    def pin_or_unpin(self, pin):
        if self.world.writer.control.tables["records"].has_unit(pin):
            self.world.unpin(pin)
        else:
            self.world.pin(pin)

    @rule()
    def end_certified(self):
        self.world.end_certified()

    @rule()
    def settle(self):
        self.world.settle()

    @rule(behind=st.sets(_DAEMONS, max_size=2))
    def settle_some(self, behind):
        self.world.settle(*[i for i in range(4) if i not in behind])

    @rule(unit=st.sampled_from(UNITS), index=_DAEMONS)
    def move(self, unit, index):
        self.world.assign(unit, index)
        self.fold(index, 1000)
        self.ask_and_answer(index)

    @rule(index=_DAEMONS, unreached=st.sets(_DAEMONS, max_size=3))
    def lose(self, index, unreached):
        """Freeze a daemon past its expiry; drop promises to some."""
        self.world.daemon(index).frozen = True
        self.pass_time({index})
        for witness in range(4):
            self.push(witness)
        for envelope in list(self.world.in_transit):
            if isinstance(envelope.msg, Promise):
                self.world.in_transit.remove(envelope)
                if int(envelope.receiver[-1]) - 1 not in unreached:
                    self.world.deliver(envelope)

    @rule(index=_DAEMONS)
    def thaw_and_renew(self, index):
        self.world.daemon(index).frozen = False
        self.renew(index)

    @rule(index=_DAEMONS, key=_KEYS)
    def start_work(self, index, key):
        daemon = self._live(index)
        if daemon is not None:
            daemon.start_work(key)

    @rule(index=_DAEMONS)
    def finish_work(self, index):
        daemon = self._live(index)
        if daemon is not None:
            daemon.finish_work()

    @invariant()
    def has_one_owner(self):
        if hasattr(self, "world"):
            assert self.world.conflict() is None


TestOwnership = Ownership.TestCase
TestOwnership.settings = settings(
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
