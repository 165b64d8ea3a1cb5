"""The busiest keys of a stream, in bounded memory."""

from __future__ import annotations


class KeySketch:
    """
    Counts the busiest keys with the space-saving algorithm.

    A key that is not counted takes the place of the least busy one and
    its count. So a count can be too high by at most that of the least
    busy key, and a busy key is never missed.

    :param size: number of keys that are counted.
    """

    __slots__ = ("_counts", "_errors", "_size")

    def __init__(self, size: int) -> None:
        self._size = size
        self._counts: dict[int, int] = {}
        self._errors: dict[int, int] = {}

    def add(self, key: int) -> None:
        """Count one occurrence of a key."""
        if key in self._counts:
            self._counts[key] += 1
            return
        error = 0
        if len(self._counts) >= self._size:
            error = self._evict()
        self._counts[key] = error + 1
        self._errors[key] = error

    def top(self, count: int) -> list[tuple[int, int]]:
        """Return the busiest keys and a lower bound of their counts."""
        certain = {
            key: counted - self._errors[key]
            for key, counted in self._counts.items()
        }
        busiest = sorted(certain, key=certain.__getitem__, reverse=True)
        return [(key, certain[key]) for key in busiest[:count]]

    def clear(self) -> None:
        """Forget everything."""
        self._counts.clear()
        self._errors.clear()

    def _evict(self) -> int:
        least = min(self._counts, key=self._counts.__getitem__)
        del self._errors[least]
        return self._counts.pop(least)
