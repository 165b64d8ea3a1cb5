"""The most frequent keys of a stream, in bounded memory."""

from __future__ import annotations


class KeySketch:
    """
    Counts the most frequent keys with the space-saving algorithm.

    A key without a counter takes over the counter of the least frequent
    key, including its count. So a count can be too high by at most the
    count of the least frequent key, and a frequent key is never missed.

    :param size: number of counters.
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
        """Return the top keys, each with a lower bound of its count."""
        lower_bounds = {
            key: counted - self._errors[key]
            for key, counted in self._counts.items()
        }
        busiest = sorted(
            lower_bounds, key=lower_bounds.__getitem__, reverse=True
        )
        return [(key, lower_bounds[key]) for key in busiest[:count]]

    def clear(self) -> None:
        """Remove all counters."""
        self._counts.clear()
        self._errors.clear()

    def _evict(self) -> int:
        evicted_key = min(self._counts, key=self._counts.__getitem__)
        del self._errors[evicted_key]
        return self._counts.pop(evicted_key)
