"""The state of the target on this daemon's instance."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.rate_limit import RateLimit
from burdockgap.forward.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.departures import Departures
    from burdockgap.forward.target_info import TargetInfo
    from burdockgap.forward.target_notice import TargetNotice

_ANNOUNCEMENT_TIMEOUT_S = 2.4
"""Long enough that two late announcements do not cause a timeout."""
_RESPONSE_TIMEOUT_S = 1.0
_SERVICE_TIME_WEIGHT = 0.05
"""Weight of one response's time in the moving average; about a dozen
requests run at once."""
_SLOWNESS_WEIGHT = 0.02
"""Weight of one response's slowness in the moving average. The load
of other work on the machine changes within fractions of a second, so
the average has to span several such changes."""
_SLOWNESS_SPAN_S = 4.0
"""Least time that the average spans. With a weight per response alone,
a server with 900 requests per second averaged over 0.05 s."""


class TargetState:
    """
    The newest target process and whether it accepts requests.

    :param drain_s: how long a draining target may be sent requests,
        in seconds.
    :param cold_rate: returns the requests per second that a cold target
        can handle, ``None`` while no configuration is known.
    :param departures: receives the processes that leave; what it has
        from an earlier run of the daemon holds.
    :param on_change: called after a change that peers need to know.
    :param on_event: logs a change of state.
    :ivar info: the newest announcement, ``None`` before the first.
    :ivar up: whether the target is considered to be running.
    :ivar ended: whether its process is known to have ended.
    :ivar left: whether it has deregistered.
    :ivar limit: the limit that it names in its responses.
    :ivar drain_deadline: time on the event loop's clock until which it
        may be sent requests; set when it first announces that it drains
        or deregisters.
    """

    __slots__ = (
        "_responded_at",
        "_normalized_service_s",
        "_cold_rate",
        "_cold_until",
        "_departures",
        "_drain_s",
        "_cold_bucket",
        "_announced_at",
        "_first_announced_at",
        "_loop",
        "_on_change",
        "_on_event",
        "_samples",
        "_slowness",
        "_succeeded_at",
        "_mean_slowness",
        "ended",
        "info",
        "left",
        "drain_deadline",
        "limit",
        "_has_notice",
        "_leaving_at",
        "up",
    )

    def __init__(
        self,
        *,
        drain_s: float,
        cold_rate: Callable[[], float | None],
        departures: Departures,
        on_change: Callable[[], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_change = on_change
        self._on_event = on_event
        self._announced_at = 0.0
        self._first_announced_at = 0.0
        self._responded_at = 0.0
        self.info: TargetInfo | None = None
        self._drain_s = drain_s
        self._cold_rate = cold_rate
        self._departures = departures
        self._cold_bucket: TokenBucket | None = None
        self._cold_until = 0.0
        self.up = False
        self.ended = False
        self.drain_deadline = math.inf
        self.left = False
        self.limit = RateLimit()
        self._has_notice = False
        self._leaving_at: float | None = None
        self._normalized_service_s = 0.0
        self._samples = 0
        self._succeeded_at = self._loop.time()
        self._slowness = 1.0
        self._mean_slowness: float | None = None

    @property
    def service_s(self) -> float:
        """Typical time of a request in seconds, 0 if none has run."""
        return self._normalized_service_s * (self._mean_slowness or 1.0)

    @property
    def slowness(self) -> float:
        """Latest slowdown relative to this target's average."""
        return self._slowness / (self._mean_slowness or 1.0)

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to the target."""
        return (
            self.up
            and not self.left
            and self.info is not None
            and not self.info.draining
        )

    @property
    def born(self) -> int:
        """Start time of its process, 0 if unknown or down."""
        return self.info.born if self.info is not None and self.up else 0

    @property
    def announced_at(self) -> float:
        """Time of the last announcement, on the event loop's clock."""
        return self._announced_at

    @property
    def first_announced_at(self) -> float:
        """Time of the first announcement of its process, likewise."""
        return self._first_announced_at

    def admit_request(self) -> bool:
        """
        Return whether the target may be sent a request now.

        A cold target is limited to its rate; the request is counted.
        """
        now = self._loop.time()
        if now >= self._cold_until:
            return True
        rate = self._cold_rate()
        if rate is None:
            return False
        if self._cold_bucket is None:
            self._cold_bucket = TokenBucket(rate=rate, now=now)
        return self._cold_bucket.take(now)

    def announced(self, info: TargetInfo) -> bool:
        """
        Apply an announcement.

        :return: whether it is newer than what is known.
        """
        now = self._loop.time()
        previous = self.info
        if previous is not None:
            is_outdated = info.born < previous.born or (
                info.born == previous.born
                and info.sequence <= previous.sequence
            )
            if is_outdated:
                return False
        is_new_process = previous is None or info.born != previous.born
        changed = is_new_process or not self.up
        if previous is not None and not is_new_process:
            changed = changed or info.draining != previous.draining
            info.draining = info.draining or previous.draining
        self.info = info
        self._announced_at = now
        self.up = True
        self.ended = False
        if is_new_process:
            self._begin_process(now)
        if is_new_process and self._departures.includes(info):
            # How long ago it said so is not known after a restart.
            self._note_leaving(now - self._drain_s)
            info.draining = True
        if info.draining:
            self._note_leaving(now)
        self._extend_cold_period(info, now)
        if changed:
            self._log(
                "target",
                state="draining" if info.draining else "ready",
                sequence=info.sequence,
                cold_s=round(info.cold_s, 3),
            )
            self._on_change()
        return True

    def leaving(self, target_id: str) -> None:
        """Apply the target's deregistration."""
        if self.info is None or self.info.target_id != target_id:
            self._departures.note_unheard(target_id)
            self._log("unknown_target_left", left=target_id)
            return
        if not self.left:
            self.left = True
            self._note_leaving(self._loop.time())
            self._departures.note_unheard(target_id)
            self._log("target", state="left")
            self._on_change()

    def apply_departures(self) -> None:
        """Drain a target that left in an earlier run of the daemon."""
        if self.info is not None and self._departures.includes(self.info):
            self._drain(self._drain_s, why="an earlier run")

    def note_notice(self, notice: TargetNotice, born: int) -> None:
        """
        Apply what the target said in a response.

        :param born: start time of the process that responded.
        """
        if self.info is None or self.info.born != born:
            return
        self._has_notice = True
        self._change_limit(notice.rate_limit)
        if notice.leaving:
            self._drain(0.0, why="its response")

    def adopt_notice(self, notice: KnownNotice) -> None:
        """
        Apply what another daemon knows from before this one's start.

        Responses that this daemon has received itself are newer. Of
        several limits the lowest counts until then.
        """
        if self.info is None or self.info.born != notice.born:
            return
        rate, known = notice.rate_limit, self.limit.named_rate
        is_lower = rate is not None and (known is None or rate < known)
        if is_lower and not self._has_notice:
            self._change_limit(rate)
        if notice.leaving_s is not None:
            self._drain(notice.leaving_s, why="what other daemons know")

    @property
    def known_notice(self) -> KnownNotice | None:
        """What is known of the target's notices, if anything."""
        if self.info is None:
            return None
        leaving_s = None
        if self._leaving_at is not None:
            leaving_s = self._loop.time() - self._leaving_at
        is_known = self._has_notice or self.limit.rate is not None
        if leaving_s is None and not is_known:
            return None
        return KnownNotice(
            born=self.info.born,
            rate_limit=self.limit.named_rate,
            leaving_s=leaving_s,
        )

    def note_response(self) -> None:
        """Record that the target responded."""
        self._responded_at = self._loop.time()

    def note_success(self, seconds: float, slowness: float) -> None:
        """
        Update the averages from a successful request.

        :param seconds: its service time.
        :param slowness: the reported slowdown relative to a machine of
            usual speed.
        """
        self._slowness = slowness
        self._samples += 1
        # Early samples weigh more, as there is no history yet.
        weight = 1 / self._samples
        mean = self._mean_slowness
        if mean is None:
            mean = slowness
        now = self._loop.time()
        elapsed_s, self._succeeded_at = now - self._succeeded_at, now
        slowness_weight = min(_SLOWNESS_WEIGHT, elapsed_s / _SLOWNESS_SPAN_S)
        mean += max(slowness_weight, weight) * (slowness - mean)
        self._mean_slowness = mean
        error_s = seconds / slowness - self._normalized_service_s
        self._normalized_service_s += (
            max(_SERVICE_TIME_WEIGHT, weight) * error_s
        )

    def refused_connection(self, born: int) -> None:
        """
        Mark a process as ended, as nothing listens at its address.

        :param born: start time of the process.
        """
        if self.up and self.info is not None and self.info.born == born:
            self.up = False
            self.ended = True
            self._log("target", state="down", why="connection refused")
            self._on_change()

    def check_silence(self, in_flight: int) -> None:
        """Mark a target as down that neither announces nor responds."""
        if not self.up or not in_flight:
            return
        now = self._loop.time()
        silent_s = now - self._announced_at
        if (
            silent_s > _ANNOUNCEMENT_TIMEOUT_S
            and now - self._responded_at > _RESPONSE_TIMEOUT_S
        ):
            self.up = False
            self._log(
                "target", state="down", why="silent", age=round(silent_s, 3)
            )
            self._on_change()

    def _begin_process(self, now: float) -> None:
        """Forget what an earlier process had said."""
        self._first_announced_at = now
        self.left = False
        self.drain_deadline = math.inf
        self._cold_bucket, self._cold_until = None, 0.0
        self.limit.change(None, now)
        self._has_notice = False
        self._leaving_at = None

    def _change_limit(self, rate: float | None) -> None:
        if rate == self.limit.named_rate:
            return
        was_limited = self.limit.rate is not None
        self.limit.change(rate, self._loop.time())
        if was_limited != (rate is not None):
            self._log("target_limit", rate_limit=rate)
            self._on_change()

    def _drain(self, since_s: float, why: str) -> None:
        """Drain the target, which said so some seconds ago."""
        self._note_leaving(self._loop.time() - since_s)
        if self.info is not None and self.takes_work:
            self.info.draining = True
            self._log("target", state="draining", why=why)
            self._on_change()

    def _note_leaving(self, since: float) -> None:
        """Note that the target said so; the first time counts."""
        if self.info is not None:
            self._departures.note(self.info.target_id, self.info.born)
        if self._leaving_at is None or since < self._leaving_at:
            self._leaving_at = since
            self.drain_deadline = since + self._drain_s

    def _extend_cold_period(self, info: TargetInfo, now: float) -> None:
        if info.cold_s <= 0:
            return
        if self._cold_until <= now:
            self._cold_bucket = None
        self._cold_until = max(self._cold_until, now + info.cold_s)

    def _log(self, event: str, **fields: object) -> None:
        info = self.info
        if info is not None:
            fields.update(target=info.target_id, born=info.born)
        self._on_event(event, fields)
