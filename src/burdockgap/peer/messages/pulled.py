"""Records that a peer still has in memory."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Pulled(Message):
    """
    Consecutive raw records, none if the peer no longer has them.

    :param first: offset of the first record.
    :param records: encoded records.
    """

    __slots__ = (
        "first",
        "records",
    )
    TAG = 67

    def __init__(
        self,
        *,
        first: int,
        records: list[bytes],
    ) -> None:
        self.first = first
        self.records = records
