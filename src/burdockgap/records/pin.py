"""Separation of a hot key from its slice."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Pin(Message):
    """
    Makes one key a unit of its own, with the state of its slice.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param at: wall-clock time in seconds.
    :param service: the keyed service.
    :param unit: the new pinned unit's id.
    """

    __slots__ = (
        "record_id",
        "term",
        "at",
        "service",
        "unit",
    )
    TAG = 16

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        at: float,
        service: str,
        unit: int,
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.at = at
        self.service = service
        self.unit = unit
