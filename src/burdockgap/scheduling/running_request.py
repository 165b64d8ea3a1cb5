"""A request that a server is running."""

from __future__ import annotations


class RunningRequest:
    """
    A request that counts for the server's concurrency.

    :param route: name of its route.
    :param began: when it was sent to the server.
    :param area: integral of the concurrency over time until then.
    """

    __slots__ = ("area", "began", "route")

    def __init__(self, route: str, began: float, area: float) -> None:
        self.route = route
        self.began = began
        self.area = area
