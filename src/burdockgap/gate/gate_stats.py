"""The load that a gate reports with its replies."""

from __future__ import annotations


class GateStats:
    """
    A snapshot of a gate's load.

    :param in_flight: requests that hold a slot.
    :param limit: current maximum number of slots in use.
    :param queue_length: requests that wait for a slot.
    :param service_ewma_s: moving average of the time from dispatch to
        the response head, in seconds.
    :param completions: complete responses since the gate started.
    """

    __slots__ = (
        "completions",
        "in_flight",
        "limit",
        "queue_length",
        "service_ewma_s",
    )

    def __init__(
        self,
        *,
        in_flight: int,
        limit: int,
        queue_length: int,
        service_ewma_s: float,
        completions: int,
    ) -> None:
        self.in_flight = in_flight
        self.limit = limit
        self.queue_length = queue_length
        self.service_ewma_s = service_ewma_s
        self.completions = completions

    @property
    def demand(self) -> int:
        """Requests that run or wait for a slot."""
        return self.in_flight + self.queue_length
