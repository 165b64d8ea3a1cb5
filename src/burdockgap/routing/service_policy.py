"""The operators' settings of a service."""

from __future__ import annotations


class ServicePolicy:
    """
    A service's health check, limits and key ownership.

    :param name: the service's name.
    :param health_path: path of the targets' health check.
    :param max_connections: connections that one target accepts.
    :param cold_start_s: duration of a target's cold start, in seconds.
    :param cold_rate: requests per second that a cold target can handle.
    :param keyed: whether each key of the service has one owner.
    """

    __slots__ = (
        "cold_rate",
        "cold_start_s",
        "health_path",
        "keyed",
        "max_connections",
        "name",
    )

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        max_connections: int,
        cold_start_s: float,
        cold_rate: float,
        keyed: bool,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_start_s = cold_start_s
        self.cold_rate = cold_rate
        self.keyed = keyed
