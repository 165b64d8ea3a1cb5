"""Reports when this daemon's lease runs out, and why."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.clock import Clock
    from burdockgap.shards.lease import Lease


class LeaseAnswer(enum.Enum):
    """What the coordinator's last answer did to the lease."""

    NONE = "unanswered"
    """No answer arrived since the last check that found the lease
    valid."""
    EXTENDED = "extended"
    LATE = "late"
    """The lease had expired again before the answer arrived."""
    DENIED = "denied"
    """The coordinator may not act, or does not extend this lease."""
    OUTDATED = "outdated"
    """This daemon lacks the revision that the lease requires."""


class LeaseMonitor:
    """
    Logs the loss and the return of the lease with their cause.

    Requests for keys are refused in the same way whether the
    coordinator is gone, may not act, or this daemon lags behind. The
    log has to tell these apart.

    :param clock: keeps counting while the machine is suspended.
    :param lease: the lease.
    :param on_event: logs an event with its fields.
    :ivar answers: number of answers by effect.
    """

    __slots__ = (
        "_answer",
        "_answered_at",
        "_clock",
        "_lease",
        "_lost_at",
        "_on_event",
        "_round_trip_s",
        "answers",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        lease: Lease,
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._on_event = on_event
        self._answer = LeaseAnswer.NONE
        self._answered_at = clock.now()
        self._round_trip_s = 0.0
        self._lost_at: float | None = None
        self.answers = dict.fromkeys(LeaseAnswer, 0)

    def note(
        self, sent_at: float, lease_s: float, *, is_outdated: bool = False
    ) -> None:
        """
        Note an answer of the coordinator.

        :param sent_at: when the answered report was sent, in seconds.
        :param lease_s: duration of the lease from then on, in seconds.
        :param is_outdated: whether the lease requires an assignment
            that is not known here yet.
        """
        now = self._clock.now()
        self._answered_at = now
        self._round_trip_s = now - sent_at
        if is_outdated:
            self._answer = LeaseAnswer.OUTDATED
        elif lease_s <= 0:
            self._answer = LeaseAnswer.DENIED
        elif sent_at + lease_s <= now:
            self._answer = LeaseAnswer.LATE
        else:
            self._answer = LeaseAnswer.EXTENDED
        self.answers[self._answer] += 1

    def check(self, version: tuple[int, int]) -> None:
        """
        Log a change of the lease's validity since the last check.

        :param version: term and revision that this daemon follows.
        """
        now = self._clock.now()
        if self._lease.until > now:
            if self._lost_at is not None:
                lost_ms = round((now - self._lost_at) * 1000)
                self._write("regained", version, lost_ms=lost_ms)
            self._lost_at = None
            self._answer = LeaseAnswer.NONE
        elif self._lost_at is None and self._lease.until > 0:
            self._lost_at = now
            self._write("lost", version)

    def _write(
        self, state: str, version: tuple[int, int], **fields: object
    ) -> None:
        age_s = self._clock.now() - self._answered_at
        fields.update(
            state=state,
            answer=self._answer.value,
            answer_age_ms=round(age_s * 1000),
            round_trip_ms=round(self._round_trip_s * 1000),
            control=list(version),
        )
        self._on_event("lease", fields)
