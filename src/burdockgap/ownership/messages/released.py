"""The answer to a release request."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Released(Message):
    """
    States that a session never holds units below an epoch again.

    :param session_id: the session that releases the units.
    :param service: the keyed service.
    :param units: unit ids.
    :param floors: the lowest epoch at which it may activate each unit.
    """

    __slots__ = ("session_id", "service", "units", "floors")
    TAG = 51

    def __init__(
        self,
        *,
        session_id: int,
        service: str,
        units: list[int],
        floors: list[int],
    ) -> None:
        self.session_id = session_id
        self.service = service
        self.units = units
        self.floors = floors
