"""The addresses that the relay forwards between for a daemon."""

from __future__ import annotations


class Route:
    """
    The addresses of a daemon and of the relay in front of it.

    :param name: the daemon's name.
    :param real: IP address that the daemon binds.
    :param advertised: IP address that the relay binds and that other
        daemons connect to.
    """

    __slots__ = ("advertised", "name", "real")

    def __init__(self, *, name: str, real: str, advertised: str) -> None:
        self.name = name
        self.real = real
        self.advertised = advertised
