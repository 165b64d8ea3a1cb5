"""Refusal of a part of the requests while the daemon is overloaded."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.clock import Clock

_TICK_S = 0.05
_WEIGHT = 0.2
_HIGH_LAG_S = 0.05
_LOW_LAG_S = 0.025
_STEP_UP = 0.05
_STEP_DOWN = 0.01
_MAX_SHARE = 0.95


class Shedder:
    """
    Measures how late the daemon's tasks run and sheds accordingly.

    Work that is taken in faster than it is done makes all of it late,
    the renewal of leases included. So the share of new requests that is
    refused rises while tasks are late and falls once they are not.

    :param clock: source of elapsed time.
    :param rng: source of random choices.
    :ivar lag_s: moving average of the lateness.
    :ivar share: share of the requests that is refused now.
    """

    __slots__ = ("_clock", "_rng", "lag_s", "share")

    def __init__(
        self, *, clock: Clock, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self.lag_s = 0.0
        self.share = 0.0

    async def run(self) -> None:
        """Measure for ever."""
        while True:
            before = self._clock.now()
            await anyio.sleep(_TICK_S)
            self.measured(self._clock.now() - before - _TICK_S)

    def measured(self, lag_s: float) -> None:
        """Take the lateness of one task."""
        self.lag_s += _WEIGHT * (lag_s - self.lag_s)
        if self.lag_s > _HIGH_LAG_S:
            self.share = min(self.share + _STEP_UP, _MAX_SHARE)
        elif self.lag_s < _LOW_LAG_S:
            self.share = max(self.share - _STEP_DOWN, 0.0)

    def check(self) -> None:
        """
        Refuse a request if it is one of the share.

        :raises Refusal: with ``not-run``.
        """
        if self.share == 0.0 or self._rng.random() >= self.share:
            return
        detail = "This daemon is overloaded; retry later or elsewhere."
        raise Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, detail)
