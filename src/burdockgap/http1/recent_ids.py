"""The ids of the requests that a connection has carried lately."""

from __future__ import annotations

_RETENTION_S = 10.0
"""Longer than any caller's deadline, and so than a request is
repeated."""


class RecentIds:
    """Remembers each id for :data:`_RETENTION_S`."""

    __slots__ = ("_added_at",)

    def __init__(self) -> None:
        self._added_at: dict[str, float] = {}

    def add(self, request_id: str, now: float) -> None:
        """Remember an id; the time is in seconds."""
        # Moved to the end, so that the oldest is always the first.
        self._added_at.pop(request_id, None)
        self._added_at[request_id] = now
        while now - self._added_at[oldest := next(iter(self._added_at))] > (
            _RETENTION_S
        ):
            del self._added_at[oldest]

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._added_at
