"""A bounded, ordered set of ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class RecentIds:
    """
    The newest ids that were added, oldest first.

    :param limit: number of ids kept.
    :param ids: ids to start with, oldest first.
    """

    __slots__ = ("_ids", "_limit")

    def __init__(self, limit: int, ids: Iterable[int] = ()) -> None:
        self._limit = limit
        self._ids: dict[int, None] = dict.fromkeys(ids)

    def __contains__(self, value: object) -> bool:
        return value in self._ids

    def __iter__(self) -> Iterator[int]:
        return iter(self._ids)

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, value: int) -> None:
        """Add an id and drop the oldest if there are too many."""
        self._ids[value] = None
        if len(self._ids) > self._limit:
            del self._ids[next(iter(self._ids))]
