"""The place of an awaited record."""

from __future__ import annotations


class RecordWatch:
    """
    Where a record was folded.

    :ivar offset: the record's first offset, ``None`` until it is seen.
    """

    __slots__ = ("offset",)

    def __init__(self) -> None:
        self.offset: int | None = None
