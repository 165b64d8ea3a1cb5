"""The settings that a profile defines for the gate."""

from __future__ import annotations


class GatePolicy:
    """
    The gate's part of a service profile.

    :param queue_length: maximum number of requests waiting for a slot.
    :param queue_wait_s: maximum wait for a slot, in seconds.
    :param ramp_start: slots at a cold start; zero uses the number that
        the target announces.
    :param ramp_step: completed requests per additional slot of the
        ramp.
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
