"""Size and time limits of callers' connections."""

from __future__ import annotations


class ConnectionLimits:
    """
    Limits that the server enforces on each connection.

    :param header_bytes: maximum size of request target and headers.
    :param body_bytes: maximum size of a body.
    :param header_timeout_s: seconds allowed for receiving the headers.
    :param idle_timeout_s: seconds allowed between requests.
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
