"""What a target reports about its health and load."""

from __future__ import annotations


class TargetStatus:
    """
    A target's own report; it may be outdated or wrong.

    :param boot_id: changes whenever the target process restarts.
    :param healthy: whether the target reports that it can serve.
    :param load: number of requests that it reports as running.
    :param leaving: whether it reports that it is shutting down.
    """

    __slots__ = ("boot_id", "healthy", "leaving", "load")

    def __init__(
        self, *, boot_id: str, healthy: bool, load: int, leaving: bool
    ) -> None:
        self.boot_id = boot_id
        self.healthy = healthy
        self.load = load
        self.leaving = leaving
