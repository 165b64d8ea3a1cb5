"""Return of a pinned key to its slice."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Unpin(Message):
    """
    Removes a pinned unit whose owner also owns its slice.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param at: wall-clock time in seconds.
    :param service: the keyed service.
    :param unit: the pinned unit's id.
    """

    __slots__ = (
        "record_id",
        "term",
        "at",
        "service",
        "unit",
    )
    TAG = 17

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
