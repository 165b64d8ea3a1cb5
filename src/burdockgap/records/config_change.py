"""An operator's change of the configuration."""

from __future__ import annotations

from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from burdockgap.wire.message import Message


class ConfigChange(Message):
    """
    A change; rejected unless made against the current version.

    :param record_id: unique id of the record.
    :param at: wall-clock time in seconds.
    :param author: who made the change.
    :param against: the version that the change is based on.
    :param change: what is changed.
    """

    __slots__ = (
        "record_id",
        "at",
        "author",
        "against",
        "change",
    )
    TAG = 30

    def __init__(
        self,
        *,
        record_id: int,
        at: float,
        author: str,
        against: int,
        change: Publish | SetDataCentre | SetTarget | EndSession,
    ) -> None:
        self.record_id = record_id
        self.at = at
        self.author = author
        self.against = against
        self.change = change
