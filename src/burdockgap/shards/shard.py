"""A range of keys with its owner."""

from __future__ import annotations

from typing import Any

KEY_COUNT = 65536
"""Keys of a service are numbers below this."""


class Shard:
    """
    Keys from ``first`` to ``last``, both included.

    :param owner: name of the owning member, "" if there is none.
    :param born: the life of the owner's target that owns the keys.
    :param fence: fencing token of the ownership.
    :param previous: earlier holders that have not been seen to let go,
        each with its fencing token.
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

    def can_merge_with(self, other: Shard) -> bool:
        """
        Tell whether two adjacent ranges may become one.

        Their fencing tokens may differ if no earlier holder is left:
        the higher one is above all tokens that either range had
        elsewhere.
        """
        if (self.owner, self.born) != (other.owner, other.born):
            return False
        if not self.previous and not other.previous:
            return True
        return self.fence == other.fence and self.previous == other.previous

    def subrange(self, first: int, last: int) -> Shard:
        """Return a part of the range with the same ownership."""
        return Shard(
            first,
            last,
            owner=self.owner,
            born=self.born,
            fence=self.fence,
            previous=self.previous,
        )

    def values(self) -> list[Any]:
        """Return plain values."""
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
        """Return the shard of some plain values."""
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
    """Return the ranges in order, joined where they may be."""
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
    """Return the range of a key."""
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
