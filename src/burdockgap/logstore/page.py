"""The result of reading a stream."""

from __future__ import annotations


class Page:
    """
    Consecutive records of a stream.

    :param first: offset of the first record in ``records``.
    :param records: encoded records, possibly none.
    :param earliest: offset of the oldest record still kept.
    :param end: offset that the next append will get.
    """

    __slots__ = ("earliest", "end", "first", "records")

    def __init__(
        self, *, first: int, records: list[bytes], earliest: int, end: int
    ) -> None:
        self.first = first
        self.records = records
        self.earliest = earliest
        self.end = end
