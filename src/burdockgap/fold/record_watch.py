"""The offset of a record that a writer waits for."""

from __future__ import annotations


class RecordWatch:
    """
    A watch for one record, by its id.

    :ivar offset: offset at which the record was first applied, ``None``
        until then.
    """

    __slots__ = ("offset",)

    def __init__(self) -> None:
        self.offset: int | None = None
