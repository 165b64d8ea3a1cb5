"""The number of slices of a keyed service."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Layout(Message):
    """
    Sets a service's number of slices, which never changes later.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param service: the keyed service.
    :param slices: number of slices, a power of two.
    """

    __slots__ = (
        "record_id",
        "term",
        "service",
        "slices",
    )
    TAG = 13

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        service: str,
        slices: int,
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.service = service
        self.slices = slices
