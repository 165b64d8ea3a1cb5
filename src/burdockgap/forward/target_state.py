"""What is known of the target beside this daemon."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from burdockgap.forward.cold_rate import ColdRate

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_info import TargetInfo

_SILENT_AFTER_S = 2.4
"""Beyond two announcements that are late."""
_NO_ANSWER_S = 1.0
_LEARNING = 0.05
"""Weight of one response's time; some dozen requests run at once."""
_PRIOR_S = 0.05
"""Taken for a request's time until one has run."""
_USUAL_LEARNING = 0.02
"""Weight of one response's slowness; neighbours come and go within
fractions of a second, and several of their visits make a mean."""


class TargetState:
    """
    The newest life of the target and whether it takes work.

    :param drain_s: how long a leaving target may be sent work, in
        seconds.
    :param cold_rate: returns the requests per second that a cold target
        bears, ``None`` while no configuration is known.
    :param on_change: called when anything that others must know
        changes.
    :param on_event: logs a change of belief.
    :ivar info: the newest announcement, ``None`` before the first.
    :ivar up: whether the target is believed to run.
    :ivar ended: whether it surely runs no more.
    :ivar left: whether it said that it is gone.
    :ivar stops_at: until when it may be sent work after it said that it
        leaves, in seconds of the event loop's clock.
    """

    __slots__ = (
        "_answered_at",
        "_base_s",
        "_cold_rate",
        "_cold_until",
        "_drain_s",
        "_cold",
        "_heard_at",
        "_loop",
        "_on_change",
        "_on_event",
        "_samples",
        "_slowness",
        "_usual_slowness",
        "ended",
        "info",
        "left",
        "stops_at",
        "up",
    )

    def __init__(
        self,
        *,
        drain_s: float,
        cold_rate: Callable[[], float | None],
        on_change: Callable[[], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_change = on_change
        self._on_event = on_event
        self._heard_at = 0.0
        self._answered_at = 0.0
        self.info: TargetInfo | None = None
        self._drain_s = drain_s
        self._cold_rate = cold_rate
        self._cold: ColdRate | None = None
        self._cold_until = 0.0
        self.up = False
        self.ended = False
        self.stops_at = math.inf
        self.left = False
        self._base_s = _PRIOR_S
        self._samples = 0
        self._slowness = 1.0
        self._usual_slowness: float | None = None

    @property
    def service_s(self) -> float:
        """Typical time of a request at this target, in seconds."""
        return self._base_s * (self._usual_slowness or 1.0)

    @property
    def slowness(self) -> float:
        """How many times longer than usual here work took lately."""
        return self._slowness / (self._usual_slowness or 1.0)

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
        """The target's life, 0 if none is known or it is down."""
        return self.info.born if self.info is not None and self.up else 0

    @property
    def announced_at(self) -> float:
        """When it was announced last, on the event loop's clock."""
        return self._heard_at

    def bears_request(self) -> bool:
        """Tell whether the target bears a request now."""
        now = self._loop.time()
        if now >= self._cold_until:
            return True
        rate = self._cold_rate()
        if rate is None:
            return False
        if self._cold is None:
            self._cold = ColdRate(rate=rate, now=now)
        return self._cold.take(now)

    def announced(self, info: TargetInfo) -> bool:
        """
        Take an announcement.

        :return: whether it is newer than what is known.
        """
        now = self._loop.time()
        before = self.info
        if before is not None:
            is_old = info.born < before.born or (
                info.born == before.born and info.sequence <= before.sequence
            )
            if is_old:
                return False
        is_new_life = before is None or info.born != before.born
        changed = is_new_life or not self.up
        if before is not None and not is_new_life:
            changed = changed or info.draining != before.draining
            info.draining = info.draining or before.draining
        self.info = info
        self._heard_at = now
        self.up = True
        self.ended = False
        if is_new_life:
            self.left = False
            self.stops_at = math.inf
            self._cold, self._cold_until = None, 0.0
        if info.draining:
            self.stops_at = min(self.stops_at, now + self._drain_s)
        self._note_cold(info, now)
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
        """Take the target's word that it is gone."""
        if self.info is None or self.info.target_id != target_id:
            return
        if not self.left:
            self.left = True
            now = self._loop.time()
            self.stops_at = min(self.stops_at, now + self._drain_s)
            self._log("target", state="left")
            self._on_change()

    def heard(self) -> None:
        """Note that the target answers."""
        self._answered_at = self._loop.time()

    def worked(self, seconds: float, slowness: float) -> None:
        """
        Learn from a request that ran well.

        :param seconds: the time that it took.
        :param slowness: how many times longer than on a machine of
            usual speed work took then.
        """
        self._slowness = slowness
        self._samples += 1
        # The first samples count for more, as nothing is known before.
        weight = 1 / (self._samples + 1)
        usual = self._usual_slowness
        if usual is None:
            usual = slowness
        usual += max(_USUAL_LEARNING, weight) * (slowness - usual)
        self._usual_slowness = usual
        error_s = seconds / slowness - self._base_s
        self._base_s += max(_LEARNING, weight) * error_s

    def refused_connection(self, born: int) -> None:
        """Note that nothing listens at the address of one life."""
        if self.up and self.info is not None and self.info.born == born:
            self.up = False
            self.ended = True
            self._log("target", state="down", why="connection refused")
            self._on_change()

    def check_silence(self, in_flight: int) -> None:
        """Take a target for lost that neither announces nor answers."""
        if not self.up or not in_flight:
            return
        now = self._loop.time()
        silent_s = now - self._heard_at
        if (
            silent_s > _SILENT_AFTER_S
            and now - self._answered_at > _NO_ANSWER_S
        ):
            self.up = False
            self._log(
                "target", state="down", why="silent", age=round(silent_s, 3)
            )
            self._on_change()

    def _note_cold(self, info: TargetInfo, now: float) -> None:
        if info.cold_s <= 0:
            return
        if self._cold_until <= now:
            self._cold = None
        self._cold_until = max(self._cold_until, now + info.cold_s)

    def _log(self, event: str, **fields: object) -> None:
        info = self.info
        if info is not None:
            fields.update(target=info.target_id, born=info.born)
        self._on_event(event, fields)
