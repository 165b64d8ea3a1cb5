"""The state of one request on its connection to the target."""

from __future__ import annotations

from typing import Any

_REQUEST_STARTED_SUFFIX = ".send_request_headers.started"


class Exchange:
    """
    Records whether a request may have reached the target.

    ``sent`` becomes true right before the first byte of the request is
    written; ``completed`` when the end of the response has arrived.
    """

    __slots__ = ("sent", "completed")

    def __init__(self) -> None:
        self.sent = False
        self.completed = False

    async def trace(self, event: str, _info: dict[str, Any]) -> None:
        """Process a trace event of the HTTP library."""
        if event.endswith(_REQUEST_STARTED_SUFFIX):
            self.sent = True
