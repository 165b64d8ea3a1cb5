"""The choice in force and the one before it, behind one interface."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Protocol, cast

from burdockgap.fleet.member import Member
from burdockgap.fleet.roster import Roster
from burdockgap.forward.chooser import Chooser
from burdockgap.routing.route import Route

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.load import Load
    from tests.scheduling.site import SimulatedClock

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


class Choice(Protocol):
    """A daemon's choice of servers."""

    def heard(self, member: Member) -> None:
        """Apply a beacon."""

    def best(self, tried: set[str]) -> str | None:
        """Return the name of the server to try, if any."""

    def sent(self, name: str) -> float:
        """Note a call."""

    def answered(
        self, name: str, sent_at: float, load: Load, *, ran: bool
    ) -> None:
        """Note the end of a call."""


class _Documents:
    data_centres_out: frozenset[str] = frozenset()


class CurrentChoice:
    """The real chooser and roster of one daemon."""

    def __init__(
        self,
        name: str,
        clock: SimulatedClock,
        own_load: Callable[[], Load] | None,
        seed: int,
    ) -> None:
        own = make_server_member(name)
        own.takes_work = own_load is not None
        self.roster = Roster(own, lambda _event, _fields: None)
        self.roster._loop = clock  # type: ignore[assignment]
        if own_load is not None:
            self.roster.own_load = own_load
        self._own = name
        self._chooser = Chooser(
            roster=self.roster,
            documents=cast("Any", _Documents()),
            view=cast("Any", None),
            rng=random.Random(seed),
        )

    def heard(self, member: Member) -> None:
        """Apply a beacon."""
        if member.name != self._own:
            self.roster.record_announcement(member)

    def best(self, tried: set[str]) -> str | None:
        """Return the name of the server to try, if any."""
        member = self._chooser.best(SERVICE, _ROUTE, tried)
        return member.name if member is not None else None

    def sent(self, name: str) -> float:
        """Note a call."""
        return self.roster.note_call(name)

    def answered(
        self, name: str, sent_at: float, load: Load, *, ran: bool
    ) -> None:
        """Note the end of a call."""
        self.roster.note_call_ended(name, sent_at)
        member = self.roster.member(name)
        if member is not None:
            self.roster.note_load(name, load, member.incarnation)
        if not ran:
            self.roster.note_refusal(name)


class EarlierChoice:
    """
    The choice before this one: the best of three drawn at random.

    Kept for comparison only.
    """

    def __init__(
        self, name: str, clock: SimulatedClock, _own_load: object, seed: int
    ) -> None:
        self._clock = clock
        self._own = name
        self._rng = random.Random(seed)
        self._loads: dict[str, tuple[Load, float]] = {}
        self._unreported: dict[str, int] = {}

    def heard(self, member: Member) -> None:
        """Apply a beacon; the own load is as old as the last beacon."""
        self._loads[member.name] = (member.load, self._clock.now)
        self._unreported[member.name] = 0

    def best(self, tried: set[str]) -> str | None:
        """Return the name of the server to try, if any."""
        names = [name for name in self._loads if name not in tried]
        sample = self._rng.sample(names, min(len(names), 3))
        return min(sample, key=self._latency_s) if sample else None

    def sent(self, name: str) -> float:
        """Note a call."""
        if name != self._own:
            self._unreported[name] += 1
        return self._clock.now

    def answered(
        self,
        name: str,
        sent_at: float,  # noqa: ARG002
        load: Load,
        *,
        ran: bool,  # noqa: ARG002
    ) -> None:
        """Note the end of a call."""
        if name != self._own:
            self._loads[name] = (load, self._clock.now)
            self._unreported[name] = 0

    def _latency_s(self, name: str) -> float:
        load, load_at = self._loads[name]
        work = load.in_flight + load.waiting + self._unreported[name]
        queued = max(work + 1 - load.slots, 0) / load.slots
        is_new = self._clock.now - load_at < 0.4
        slowness = load.slowness if is_new else 1.0
        contention = 0.5 * min(work / load.slots, 1.0)
        service_s = load.service_s or 0.05
        return service_s * slowness * (1 + contention + queued)


def make_server_member(name: str) -> Member:
    """Return the member beside a server that takes work."""
    return Member(
        name=name,
        incarnation=sum(name.encode()),
        address=("127.0.0.1", 1),
        data_centre="dc1",
        region="r1",
        service=SERVICE,
        born=1,
        takes_work=True,
    )
