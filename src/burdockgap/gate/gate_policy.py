"""What a profile says to the gate."""

from __future__ import annotations


class GatePolicy:
    """
    The part of a profile that the gate follows.

    :param queue_length: most requests that wait for a slot.
    :param queue_wait_s: longest wait for a slot.
    :param ramp_start: slots at a cold start; zero takes the number
        that the target announces.
    :param ramp_step: completions per further slot of the ramp.
    """

    __slots__ = ("queue_length", "queue_wait_s", "ramp_start", "ramp_step")

    def __init__(
        self,
        *,
        queue_length: int = 32,
        queue_wait_s: float = 1.0,
        ramp_start: int = 0,
        ramp_step: int = 16,
    ) -> None:
        self.queue_length = queue_length
        self.queue_wait_s = queue_wait_s
        self.ramp_start = ramp_start
        self.ramp_step = ramp_step
