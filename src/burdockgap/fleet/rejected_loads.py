"""Loads that are not used, as their figures cannot be true."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG_INTERVAL_S = 1.0
"""Bounds the log lines, as a faulty member sends a load with each
reply."""


class RejectedLoads:
    """
    Counts and logs rejected loads.

    :param on_event: logs an event.
    :ivar count: loads that have been rejected.
    """

    __slots__ = ("_log_at", "_on_event", "count")

    def __init__(
        self, on_event: Callable[[str, dict[str, object]], None]
    ) -> None:
        self._on_event = on_event
        self._log_at = 0.0
        self.count = 0

    def note(self, name: str, why: str, now: float) -> None:
        """Count a load; log it unless another was logged just now."""
        self.count += 1
        if now >= self._log_at:
            self._log_at = now + _LOG_INTERVAL_S
            self._on_event("load_rejected", {"member": name, "why": why})
