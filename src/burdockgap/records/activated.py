"""A report that owners have activated units."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Activated(Message):
    """
    Clears the earlier holders of units that owners have activated.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param service: the keyed service.
    :param units: unit ids.
    :param epochs: the epoch at which each was activated.
    """

    __slots__ = (
        "record_id",
        "term",
        "service",
        "units",
        "epochs",
    )
    TAG = 15

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        service: str,
        units: list[int],
        epochs: list[int],
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.service = service
        self.units = units
        self.epochs = epochs
