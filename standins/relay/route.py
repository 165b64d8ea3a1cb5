"""The addresses of one daemon, as the relay needs them."""

from __future__ import annotations


class Route:
    """
    Where a daemon listens and where the relay listens for it.

    :param name: the daemon's name.
    :param real: IP address that the daemon binds.
    :param advertised: IP address that other daemons use.
    """

    __slots__ = ("advertised", "name", "real")

    def __init__(self, *, name: str, real: str, advertised: str) -> None:
        self.name = name
        self.real = real
        self.advertised = advertised
