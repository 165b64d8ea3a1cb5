"""Keys that were asked for lately."""

from __future__ import annotations

_MAX_KEYS = 64
"""Keys told in one report, so that it fits into one datagram."""


class KeySamples:
    """Collects keys between two reports."""

    __slots__ = ("_keys", "_seen")

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._seen = 0

    def add(self, key: int) -> None:
        """Note a request for a key."""
        self._seen += 1
        if len(self._keys) < _MAX_KEYS:
            self._keys.append(key)

    def take(self) -> tuple[int, list[int]]:
        """Return the number of requests and some of their keys."""
        seen, keys = self._seen, self._keys
        self._seen, self._keys = 0, []
        return seen, keys
