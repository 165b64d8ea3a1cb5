"""Samples of the keys of recent requests."""

from __future__ import annotations

_MAX_KEYS = 64
"""Limit for one report, so that it fits into one datagram."""


class KeySamples:
    """Counts requests between two reports and samples their keys."""

    __slots__ = ("_keys", "_seen")

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._seen = 0

    def add(self, key: int) -> None:
        """Count a request for a key."""
        self._seen += 1
        if len(self._keys) < _MAX_KEYS:
            self._keys.append(key)

    def take(self) -> tuple[int, list[int]]:
        """Return the request count and the sampled keys; reset both."""
        seen, keys = self._seen, self._keys
        self._seen, self._keys = 0, []
        return seen, keys
