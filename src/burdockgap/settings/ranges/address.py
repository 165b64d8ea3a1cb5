"""IP addresses with a port."""

from __future__ import annotations


class Address:
    """
    An IP address and a port, as in ``127.0.0.1:8080``.

    :param lowest_port: 0 if the kernel may choose the port, else 1.
    :param optional: whether the empty string is accepted.
    """

    __slots__ = ("lowest_port", "optional")

    def __init__(
        self, *, lowest_port: int = 0, optional: bool = False
    ) -> None:
        self.lowest_port = lowest_port
        self.optional = optional
