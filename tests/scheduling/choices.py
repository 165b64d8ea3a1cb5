"""The choice in force and the one before it, behind one interface."""

from __future__ import annotations

import random

from burdockgap.fleet.roster import Roster
from burdockgap.forward.chooser import Chooser
from burdockgap.routing.route import Route
from tests.shards.builders import make_member

SERVICE = "records"
_ROUTE = Route(
    name="r",
    host="a",
    prefix="/",
    idempotent=True,
    large=False,
    timeout_s=2.0,
    objective_s=0.5,
    max_attempts=2,
    priority=1,
    weighted_services=[(SERVICE, 1.0)],
)


class _Documents:
    data_centres_out = frozenset()


class CurrentChoice:
    """The real chooser and roster of one daemon."""

    def __init__(self, name, clock, own_load, seed):
        own = make_member(name, takes_work=own_load is not None)
        self.roster = Roster(own, lambda _event, _fields: None)
        self.roster._loop = clock
        if own_load is not None:
            self.roster.own_load = own_load
        self._own = name
        self._chooser = Chooser(
            roster=self.roster,
            documents=_Documents(),
            view=None,
            rng=random.Random(seed),
        )

    def heard(self, member):
        """Apply a beacon."""
        if member.name != self._own:
            self.roster.record_announcement(member)

    def best(self, tried):
        """Return the name of the server to try, if any."""
        member = self._chooser.best(SERVICE, _ROUTE, tried)
        return member.name if member is not None else None

    def sent(self, name):
        """Note a call."""
        return self.roster.note_call(name)

    def answered(self, name, sent_at, load, *, ran):
        """Note the end of a call."""
        self.roster.note_call_ended(name, sent_at)
        member = self.roster.member(name)
        self.roster.note_load(name, load, member.incarnation)
        if not ran:
            self.roster.note_refusal(name)


class EarlierChoice:
    """
    The choice before this one: the best of three drawn at random.

    Kept for comparison only.
    """

    def __init__(self, name, clock, _own_load, seed):
        self._clock = clock
        self._own = name
        self._rng = random.Random(seed)
        self._loads = {}

    def heard(self, member):
        """Apply a beacon; the own load is as old as the last beacon."""
        self._loads[member.name] = [member.load, self._clock.now, 0]

    def best(self, tried):
        """Return the name of the server to try, if any."""
        names = [name for name in self._loads if name not in tried]
        sample = self._rng.sample(names, min(len(names), 3))
        return min(sample, key=self._latency_s) if sample else None

    def sent(self, name):
        """Note a call."""
        if name != self._own:
            self._loads[name][2] += 1

    def answered(self, name, _sent_at, load, **_fields):
        """Note the end of a call."""
        if name != self._own:
            self._loads[name] = [load, self._clock.now, 0]

    def _latency_s(self, name):
        load, load_at, unreported_calls = self._loads[name]
        work = load.in_flight + load.waiting + unreported_calls
        queued = max(work + 1 - load.slots, 0) / load.slots
        is_new = self._clock.now - load_at < 0.4
        slowness = load.slowness if is_new else 1.0
        contention = 0.5 * min(work / load.slots, 1.0)
        service_s = load.service_s or 0.05
        return service_s * slowness * (1 + contention + queued)
