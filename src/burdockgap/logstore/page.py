"""A batch of records read from a log stream."""

from __future__ import annotations


class Page:
    """
    Consecutive records of a stream.

    :param first: offset of the first record in ``records``.
    :param records: encoded records, possibly none.
    :param earliest: offset of the oldest record that the log retains.
    :param end: offset that the next append is given.
    """

    __slots__ = ("earliest", "end", "first", "records")

    def __init__(
        self, *, first: int, records: list[bytes], earliest: int, end: int
    ) -> None:
        self.first = first
        self.records = records
        self.earliest = earliest
        self.end = end
