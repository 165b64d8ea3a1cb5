"""A Hypercorn HTTP/1.1 protocol that reports malformed requests."""

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


class ReportingProtocol(H11Protocol):
    """Calls ``on_malformed`` and sends Hypercorn's error response."""

    async def _send_error_response(self, status_code: int) -> None:
        on_malformed = getattr(self.config, "on_malformed", None)
        if on_malformed is not None:
            on_malformed()
        await super()._send_error_response(status_code)


def install() -> None:
    """Make Hypercorn use this class for all HTTP/1.1 connections."""
    # Hypercorn answers malformed requests itself and does not call the
    # application, which therefore could not count them.
    module: Any = hypercorn.protocol
    module.H11Protocol = ReportingProtocol
