"""Limits on what one connection may send."""

from __future__ import annotations


class ConnectionLimits:
    """
    What a caller may send, and how long it may take.

    :param header_bytes: most bytes of request line and headers.
    :param body_bytes: most bytes of a body.
    :param header_timeout_s: longest time for the headers, in seconds.
    :param idle_timeout_s: longest pause between requests, in seconds.
    """

    __slots__ = (
        "body_bytes",
        "header_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        *,
        header_bytes: int = 16384,
        body_bytes: int = 64 * 1024 * 1024,
        header_timeout_s: float = 10.0,
        idle_timeout_s: float = 60.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
