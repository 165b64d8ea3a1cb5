"""An IP address with a port."""

from __future__ import annotations

import ipaddress

_HIGHEST_PORT = 65535


class Endpoint:
    """
    An IP address and a port, such as ``127.0.0.1:8080``.

    :param ip: the IP address.
    :param port: the port, 0 for one that the kernel chooses.
    """

    __slots__ = ("ip", "port")

    def __init__(
        self, ip: ipaddress.IPv4Address | ipaddress.IPv6Address, port: int
    ) -> None:
        self.ip = ip
        self.port = port

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """
        Parse ``IP:port``; an IPv6 address must be in brackets.

        :raises ValueError: if the text has another form or the port is
            above 65535.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not (port.isascii() and port.isdigit()):
            raise ValueError(f"{text!r} is not of the form IP:port")
        number = int(port)
        if number > _HIGHEST_PORT:
            raise ValueError(f"port {number} is above {_HIGHEST_PORT}")
        bracketed = host.startswith("[") and host.endswith("]")
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
        if bracketed != (ip.version == 6):
            raise ValueError(f"write an IPv6 number as [number]: {text!r}")
        return cls(ip, number)

    @property
    def is_loopback(self) -> bool:
        """Tell whether only this machine can reach the address."""
        return self.ip.is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Tell whether the IP address means all interfaces."""
        return self.ip.is_unspecified
