"""Settings of the section ``[peer]``."""

from __future__ import annotations


class PeerSettings:
    """
    Traffic between daemons.

    :param bind: address to listen on, TCP and UDP.
    :param advertise: address announced to daemons, "" for ``bind``.
    :param secret: shared key that authenticates datagrams and calls.
    :param keepalive_s: time between pings on a connection.
    """

    __slots__ = (
        "advertise",
        "bind",
        "keepalive_s",
        "secret",
    )

    def __init__(
        self, *, bind: str, advertise: str, secret: str, keepalive_s: float
    ) -> None:
        self.bind = bind
        self.advertise = advertise
        self.secret = secret
        self.keepalive_s = keepalive_s
