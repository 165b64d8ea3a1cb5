"""Settings of the section ``[admin]``."""

from __future__ import annotations


class AdminSettings:
    """
    The administration API.

    :param bind: address that is listened on.
    :param token: bearer token of operators, "" for none.
    """

    __slots__ = (
        "bind",
        "token",
    )

    def __init__(self, *, bind: str, token: str) -> None:
        self.bind = bind
        self.token = token
