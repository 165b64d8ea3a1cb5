"""An IP address with a port."""

from __future__ import annotations

import ipaddress

_HIGHEST_PORT = 65535


class Endpoint:
    """
    The two parts of an address such as ``127.0.0.1:8080``.

    :param ip: the IP number.
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
        Read ``IP:port``; an IPv6 number stands in brackets.

        :raises ValueError: if the text has another form.
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
        """Tell whether only this machine reaches the address."""
        return self.ip.is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Tell whether the address stands for all interfaces."""
        return self.ip.is_unspecified
