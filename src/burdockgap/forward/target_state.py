"""What is known of the target beside this daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockgap.forward.cold_rate import ColdRate

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.forward.target_info import TargetInfo

_SILENT_AFTER_S = 2.4
"""Beyond two announcements that are late."""
_NO_ANSWER_S = 1.0
_LEARNING = 0.1


class TargetState:
    """
    The newest life of the target and whether it takes work.

    :param on_change: called when anything that others must know changes.
    :param on_event: logs a change of belief.
    :ivar info: the newest announcement, ``None`` before the first.
    :ivar up: whether the target is believed to run.
    :ivar left: whether it said that it is gone.
    :ivar service_s: typical time of a request, in seconds.
    """

    __slots__ = (
        "_answered_at",
        "_heard_at",
        "_loop",
        "_on_change",
        "_on_event",
        "cold",
        "info",
        "left",
        "service_s",
        "up",
    )

    def __init__(
        self,
        *,
        on_change: Callable[[], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_change = on_change
        self._on_event = on_event
        self._heard_at = 0.0
        self._answered_at = 0.0
        self.info: TargetInfo | None = None
        self.cold: ColdRate | None = None
        self.up = False
        self.left = False
        self.service_s = 0.05

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
    def cold_left_s(self) -> float:
        """How much longer the target is cold, in seconds."""
        if self.cold is None:
            return 0.0
        return max(self.cold.until - self._loop.time(), 0.0)

    def announced(self, info: TargetInfo, cold_rate: float | None) -> bool:
        """
        Take an announcement.

        :param cold_rate: requests per second that a cold target bears.
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
        if is_new_life:
            self.left = False
        self._note_cold(info, cold_rate, now)
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
            self._log("target", state="left")
            self._on_change()

    def answered(self, seconds: float) -> None:
        """Note a response and the time that it took."""
        self._answered_at = self._loop.time()
        self.service_s += _LEARNING * (seconds - self.service_s)

    def refused_connection(self, born: int) -> None:
        """Note that nothing listens at the address of one life."""
        if self.up and self.info is not None and self.info.born == born:
            self.up = False
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

    def _note_cold(
        self, info: TargetInfo, cold_rate: float | None, now: float
    ) -> None:
        if cold_rate is None:
            return
        until = now + info.cold_s
        if info.cold_s <= 0:
            return
        if self.cold is None or self.cold.until <= now:
            self.cold = ColdRate(rate=cold_rate, until=until, now=now)
        else:
            self.cold.until = max(self.cold.until, until)

    def _log(self, event: str, **fields: object) -> None:
        info = self.info
        if info is not None:
            fields.update(target=info.target_id, born=info.born)
        self._on_event(event, fields)
