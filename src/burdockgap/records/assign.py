"""Assignment of units to sessions."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Assign(Message):
    """
    Gives units to new owners; each unit's epoch rises by two.

    :param record_id: unique id of the record.
    :param term: the author's term.
    :param at: wall-clock time in seconds.
    :param service: the keyed service.
    :param cause: why the units move, for the audit trail.
    :param units: unit ids, see :mod:`burdockgap.ownership.unit`.
    :param owners: the new owner's session id of each unit.
    """

    __slots__ = (
        "record_id",
        "term",
        "at",
        "service",
        "cause",
        "units",
        "owners",
    )
    TAG = 14

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        at: float,
        service: str,
        cause: str,
        units: list[int],
        owners: list[int],
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.at = at
        self.service = service
        self.cause = cause
        self.units = units
        self.owners = owners
