"""What a daemon has observed of another member."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockgap.scheduling import placement
from burdockgap.scheduling.candidate import Candidate

if TYPE_CHECKING:
    from burdockgap.fleet.member import Member
    from burdockgap.forward.load import Load

_TRANSIT_S = 0.002
"""A load that is received this soon after a call was sent does not
include the call yet."""
_MEAN_WORK_TIME_S = 5.0
"""Time constant of the mean load. With 1 s, all daemons follow the same
last beacon: of 100 requests at 40 servers with 3 slots at 0.8 load, 46
were refused, against 31 with 5 s."""


class RosterEntry:
    """
    A member and what this daemon has observed of it.

    Times are seconds of the event loop's clock.

    :param member: the newest announcement.
    :param heard_at: when it was last heard, ``None`` if it is only
        known from the store.
    :ivar load: the newest load known.
    :ivar load_at: when the load was received.
    :ivar mean_work: running and queued requests, averaged over loads.
    :ivar notice: the newest notice of its target that was received, if
        any.
    :ivar notice_at: when that was.
    :ivar calls_sent_at: when this daemon's outstanding calls to it were
        sent.
    :ivar full_until: until when its target is expected to have no room
        after a refusal.
    :ivar ejected_until: end of its ejection after a failure.
    """

    __slots__ = (
        "calls_sent_at",
        "ejected_until",
        "full_until",
        "heard_at",
        "known_at",
        "load",
        "load_at",
        "mean_work",
        "member",
        "notice",
        "notice_at",
    )

    def __init__(
        self, member: Member, heard_at: float | None, known_at: float
    ) -> None:
        self.member = member
        self.heard_at = heard_at
        self.known_at = known_at
        self.load = member.load
        self.load_at = heard_at or 0.0
        self.mean_work = float(self.load.in_flight + self.load.waiting)
        # The age of a stored notice is not known.
        self.notice = member.notice if heard_at is not None else None
        self.notice_at = heard_at or 0.0
        self.calls_sent_at: list[float] = []
        self.full_until = 0.0
        self.ejected_until = 0.0

    def note_load(self, load: Load, now: float) -> None:
        """Store a load that has just been received."""
        weight = 1 - math.exp(-(now - self.load_at) / _MEAN_WORK_TIME_S)
        work = load.in_flight + load.waiting
        self.mean_work += weight * (work - self.mean_work)
        self.load, self.load_at = load, now
        if work < load.slots:
            self.full_until = 0.0

    def note_refusal(self, now: float, mean_s: float) -> None:
        """
        Note that the target has refused a call for lack of room.

        :param mean_s: service time if the target has run no request.
        """
        load = self.load
        self.full_until = now + placement.full_time_s(
            work=load.in_flight + load.waiting,
            slots=load.slots,
            service_s=load.service_s or mean_s,
            slowness=load.slowness,
        )

    def forget_load(self) -> None:
        """Forget what was observed of an earlier incarnation."""
        self.calls_sent_at.clear()
        self.mean_work = self.full_until = 0.0

    def candidate(self, now: float) -> Candidate:
        """Return what is known of the target."""
        load = self.load
        age_s = max(now - self.load_at, 0.0)
        reported_until = self.load_at - _TRANSIT_S
        own_calls = sum(at > reported_until for at in self.calls_sent_at)
        rate_wait_s = 0.0
        if load.rate_limit:
            added_s = own_calls / load.rate_limit
            rate_wait_s = max(load.rate_wait_s + added_s - age_s, 0.0)
        return Candidate(
            self.member.name,
            work=load.in_flight + load.waiting,
            mean_work=self.mean_work,
            slots=load.slots,
            service_s=load.service_s,
            slowness=load.slowness,
            age_s=age_s,
            own_calls=own_calls,
            full_s=max(self.full_until - now, 0.0),
            rate_wait_s=rate_wait_s,
        )


def own_candidate(name: str, load: Load) -> Candidate:
    """Return what is known of this daemon's own target."""
    return Candidate(
        name,
        work=load.in_flight + load.waiting,
        slots=load.slots,
        service_s=load.service_s,
        slowness=load.slowness,
        rate_wait_s=load.rate_wait_s,
    )
