"""The progress of one request on its connection to the target."""

from __future__ import annotations

from typing import Any

_FIRST_BYTES = ".send_request_headers.started"


class Exchange:
    """
    Records whether a request can have reached the target.

    ``sent`` turns true right before the first byte of the request is
    written; ``whole`` once the answer's last byte has arrived.
    """

    __slots__ = ("sent", "whole")

    def __init__(self) -> None:
        self.sent = False
        self.whole = False

    async def trace(self, event: str, _info: dict[str, Any]) -> None:
        """Take an event of the HTTP library."""
        if event.endswith(_FIRST_BYTES):
            self.sent = True
