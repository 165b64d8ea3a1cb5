"""Ranges of keys and their owners."""

from __future__ import annotations

from typing import Any

KEY_COUNT = 65536
"""Keys of a service are integers from 0 to below this number."""


class Shard:
    """
    The ownership of the keys from ``first`` to ``last``, inclusive.

    :param owner: name of the owning member, "" if there is none.
    :param born: start time of the owner's target; identifies the
        target's incarnation that owns the keys.
    :param fence: fencing token of the ownership.
    :param previous: earlier holders that may still hold keys of the
        range, each with its fencing token.
    """

    __slots__ = ("born", "fence", "first", "last", "owner", "previous")

    def __init__(
        self,
        first: int,
        last: int,
        *,
        owner: str = "",
        born: int = 0,
        fence: int = 0,
        previous: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.first = first
        self.last = last
        self.owner = owner
        self.born = born
        self.fence = fence
        self.previous = previous

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a range of keys has keys of this one."""
        return self.first <= last and first <= self.last

    def can_merge_with(self, other: Shard) -> bool:
        """
        Return whether two adjacent ranges may be merged.

        Their fencing tokens may differ if neither has an earlier holder
        left, because the higher token exceeds all tokens that either
        range had at other owners.
        """
        if (self.owner, self.born) != (other.owner, other.born):
            return False
        if not self.previous and not other.previous:
            return True
        return self.fence == other.fence and self.previous == other.previous

    def subrange(self, first: int, last: int) -> Shard:
        """Return a subrange with the same ownership."""
        return Shard(
            first,
            last,
            owner=self.owner,
            born=self.born,
            fence=self.fence,
            previous=self.previous,
        )

    def values(self) -> list[Any]:
        """Return the shard as a list that can be serialized."""
        return [
            self.first,
            self.last,
            self.owner,
            self.born,
            self.fence,
            [list(holder) for holder in self.previous],
        ]

    @classmethod
    def from_values(cls, values: list[Any]) -> Shard:
        """
        Return the shard that :meth:`values` describes.

        :raises ValueError: if there are too few or too many values.
        """
        first, last, owner, born, fence, previous = values
        return cls(
            first,
            last,
            owner=owner,
            born=born,
            fence=fence,
            previous=tuple((name, token) for name, token in previous),
        )

    def __repr__(self) -> str:
        return f"Shard({self.first}-{self.last} {self.owner} f{self.fence})"


def merge_adjacent(shards: list[Shard]) -> list[Shard]:
    """Return the ranges in order of keys, merged where possible."""
    result: list[Shard] = []
    for shard in sorted(shards, key=lambda shard: shard.first):
        if result and result[-1].can_merge_with(shard):
            before = result.pop()
            whole = before.subrange(before.first, shard.last)
            whole.fence = max(before.fence, shard.fence)
            result.append(whole)
        else:
            result.append(shard)
    return result


def find(shards: list[Shard], key: int) -> Shard | None:
    """
    Return the range that contains a key.

    :param shards: ranges in order of keys.
    :return: ``None`` if no range contains the key.
    """
    low, high = 0, len(shards)
    while low < high:
        middle = (low + high) // 2
        if shards[middle].last < key:
            low = middle + 1
        else:
            high = middle
    if low < len(shards) and shards[low].first <= key:
        return shards[low]
    return None
