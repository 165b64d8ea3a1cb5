"""Settings of the section ``[admin]``."""

from __future__ import annotations


class AdminSettings:
    """
    The administration API.

    :param bind: address to listen on, as ``IP:port``.
    :param token: bearer token that operators send, "" for none.
    """

    __slots__ = (
        "bind",
        "token",
    )

    def __init__(self, *, bind: str, token: str) -> None:
        self.bind = bind
        self.token = token
