"""Ranges that must not be granted again under their fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.shards.shard import Shard

_MAX_REVOCATIONS = 256


class Revocations:
    """
    The ranges that were released, each up to a fencing token.

    A lease may be extended before the assignment that takes a range
    away is known here.
    """

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[tuple[int, int, int]] = []

    def add(
        self, first: int, last: int, fence: int, current: list[Shard]
    ) -> None:
        """
        Revoke a range up to a fencing token.

        :param current: ranges of the assignment that is known; their
            revocations are kept beyond :data:`_MAX_REVOCATIONS`.
        """
        self._rows.append((first, last, fence))
        old = self._rows[:-_MAX_REVOCATIONS]
        if old:
            self._rows[: len(old)] = [
                row
                for row in old
                if any(_is_revoked(shard, *row) for shard in current)
            ]

    def include(self, shard: Shard) -> bool:
        """Return whether a part of a range is revoked."""
        return any(_is_revoked(shard, *row) for row in self._rows)

    def include_key(self, key: int, fence: int) -> bool:
        """Return whether a key is revoked under a fencing token."""
        return any(
            first <= key <= last and fence <= token
            for first, last, token in self._rows
        )


def _is_revoked(shard: Shard, first: int, last: int, fence: int) -> bool:
    return shard.overlaps(first, last) and shard.fence <= fence
