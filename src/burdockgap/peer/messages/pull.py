"""A request for records that a daemon is missing."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Pull(Message):
    """
    Asks a peer for raw records of a stream.

    :param stream: name of the stream.
    :param from_offset: offset of the first record wanted.
    :param limit: largest number of records.
    """

    __slots__ = (
        "stream",
        "from_offset",
        "limit",
    )
    TAG = 66

    def __init__(
        self,
        *,
        stream: str,
        from_offset: int,
        limit: int,
    ) -> None:
        self.stream = stream
        self.from_offset = from_offset
        self.limit = limit
