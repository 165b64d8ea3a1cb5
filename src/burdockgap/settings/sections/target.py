"""Settings of the section ``[target]``."""

from __future__ import annotations


class TargetSettings:
    """
    Supervision of the target.

    :param stall_s: time without progress of a busy target after which
        the lease is no longer renewed.
    :param health_every_s: time between health checks.
    """

    __slots__ = (
        "health_every_s",
        "stall_s",
    )

    def __init__(self, *, stall_s: float, health_every_s: float) -> None:
        self.stall_s = stall_s
        self.health_every_s = health_every_s
