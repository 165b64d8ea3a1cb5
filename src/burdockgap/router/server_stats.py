"""What this router has seen of one server."""

from __future__ import annotations

import math

_WEIGHT = 0.3
_PENALTY = 10.0
_PENALTY_HALF_LIFE_S = 1.0
_AVOIDED_S = 1.0


class ServerStats:
    """
    Load and latency of one server as its replies showed them.

    :ivar latency_s: moving average of the time to the answer's head.
    :ivar reported_load: share of the gate's limit in use, from its
        newest reply.
    :ivar in_flight: requests that this router has there now.
    :ivar failed_at: clock time of the newest failed attempt.
    """

    __slots__ = ("failed_at", "in_flight", "latency_s", "reported_load")

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.reported_load = 0.0
        self.in_flight = 0
        self.failed_at = float("-inf")

    def answered(self, latency_s: float) -> None:
        """Account for an answer after ``latency_s`` seconds."""
        self.failed_at = float("-inf")
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += _WEIGHT * (latency_s - self.latency_s)

    def failed(self, now: float) -> None:
        """Account for an attempt that found the server unreachable."""
        self.failed_at = now

    def is_avoided(self, now: float) -> bool:
        """Tell whether the server was unreachable just now."""
        return now - self.failed_at < _AVOIDED_S

    def load(self, *, in_flight: int, limit: int) -> None:
        """Account for the load that rode on a reply."""
        self.reported_load = in_flight / max(limit, 1)

    def cost(self, now: float, floor_s: float) -> float:
        """
        Return the expected cost of one more request; lower is better.

        :param floor_s: latency below which servers count as equal.
        """
        latency_s = max(self.latency_s, floor_s)
        base = latency_s * (1.0 + self.in_flight + self.reported_load)
        age_s = now - self.failed_at
        penalty = _PENALTY * math.exp2(-age_s / _PENALTY_HALF_LIFE_S)
        return base * (1.0 + penalty)
