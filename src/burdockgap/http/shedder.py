"""Load shedding of a daemon."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from burdockgap.verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from burdockgap.clock import Clock

_SAMPLE_INTERVAL_S = 0.05
_SAMPLE_WEIGHT = 0.2
_HIGH_LAG_S = 0.05
_LOW_LAG_S = 0.025
_SHARE_INCREASE = 0.05
_SHARE_DECREASE = 0.01
_MAX_SHARE = 0.95


class Shedder:
    """
    Refuses a share of new requests that depends on event loop lag.

    If requests arrive faster than they are served, all tasks of the
    event loop are delayed, including lease renewals. The share of
    refused requests therefore rises while the lag is high and falls
    once it is low.

    :param clock: source of elapsed time.
    :param rng: random number generator.
    :ivar lag_s: moving average of the event loop lag.
    :ivar share: share of new requests that is refused, from 0 to 1.
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
        """Measure the event loop lag until cancelled."""
        while True:
            before = self._clock.now()
            await anyio.sleep(_SAMPLE_INTERVAL_S)
            self.record_lag(self._clock.now() - before - _SAMPLE_INTERVAL_S)

    def record_lag(self, lag_s: float) -> None:
        """Update the average lag and the share with one measurement."""
        self.lag_s += _SAMPLE_WEIGHT * (lag_s - self.lag_s)
        if self.lag_s > _HIGH_LAG_S:
            self.share = min(self.share + _SHARE_INCREASE, _MAX_SHARE)
        elif self.lag_s < _LOW_LAG_S:
            self.share = max(self.share - _SHARE_DECREASE, 0.0)

    def check(self) -> None:
        """
        Refuse a random share of the requests.

        :raises Refusal: ``not-run`` if this request is refused.
        """
        if self.share == 0.0 or self._rng.random() >= self.share:
            return
        detail = "This daemon is overloaded; retry later or elsewhere."
        raise Refusal(Verdict.NOT_RUN, Reason.OVERLOADED, detail)
