"""A request that waits for a slot."""

from __future__ import annotations

Rank = tuple[tuple[int, ...], float, int]
"""Order in the queue, the lowest first: the class (calls of running
requests, priority, whether the objective can be met), then the latest
start, then the order of arrival."""


class QueuedCall:
    """
    A request in a server's queue.

    :param rank: order in the queue.
    :param latest_start: time after which it is not started.
    :param service_s: expected service time, in seconds.
    :ivar offered_at: when it was offered to the queue.
    :ivar predicted_start: start predicted at that time.
    """

    __slots__ = (
        "latest_start",
        "offered_at",
        "predicted_start",
        "rank",
        "service_s",
    )

    def __init__(
        self, rank: Rank, latest_start: float, service_s: float
    ) -> None:
        self.rank = rank
        self.latest_start = latest_start
        self.service_s = service_s
        self.offered_at = 0.0
        self.predicted_start = 0.0

    def is_equal_to(self, other: QueuedCall) -> bool:
        """Return whether neither has precedence by its class."""
        return self.rank[0] == other.rank[0]
