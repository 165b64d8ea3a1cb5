"""What a target reports about its health and load."""

from __future__ import annotations


class TargetStatus:
    """
    A target's own report; it can lag or mislead.

    :param boot_id: changes whenever the target process restarts.
    :param healthy: whether the target says that it can serve.
    :param load: requests that it says are running.
    :param leaving: whether it says that it is about to stop.
    """

    __slots__ = ("boot_id", "healthy", "leaving", "load")

    def __init__(
        self, *, boot_id: str, healthy: bool, load: int, leaving: bool
    ) -> None:
        self.boot_id = boot_id
        self.healthy = healthy
        self.load = load
        self.leaving = leaving
