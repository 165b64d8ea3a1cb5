"""Settings of the section ``[http]``."""

from __future__ import annotations


class HttpSettings:
    """
    The listener for callers.

    :param bind: address to listen on, as ``IP:port``.
    :param advertise: address announced to callers, "" for ``bind``.
    :param max_header_bytes: maximum size of the head of a request.
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
