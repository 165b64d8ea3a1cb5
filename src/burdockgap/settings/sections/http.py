"""Settings of the section ``[http]``."""

from __future__ import annotations


class HttpSettings:
    """
    The listener for callers.

    :param bind: address that is listened on.
    :param advertise: address given to others, "" for ``bind``.
    :param max_header_bytes: largest size of a request's head.
    """

    __slots__ = (
        "advertise",
        "bind",
        "max_header_bytes",
    )

    def __init__(
        self, *, bind: str, advertise: str, max_header_bytes: int
    ) -> None:
        self.bind = bind
        self.advertise = advertise
        self.max_header_bytes = max_header_bytes
