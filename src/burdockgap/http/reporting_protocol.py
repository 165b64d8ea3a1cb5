"""An HTTP connection that tells of malformed requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import hypercorn.protocol
from hypercorn.config import Config
from hypercorn.protocol.h11 import H11Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class ListenerConfig(Config):
    """
    Settings of one listener.

    :ivar on_malformed: called when a request's head is malformed.
    """

    on_malformed: Callable[[], None] | None = None


class CountedProtocol(H11Protocol):
    """Answers malformed requests as the library does, and tells."""

    async def _send_error_response(self, status_code: int) -> None:
        on_malformed = getattr(self.config, "on_malformed", None)
        if on_malformed is not None:
            on_malformed()
        await super()._send_error_response(status_code)


def install() -> None:
    """Have the HTTP library use this type for all its connections."""
    # It answers malformed requests without a word to the application.
    module: Any = hypercorn.protocol
    module.H11Protocol = CountedProtocol
