"""A request to release units."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Release(Message):
    """
    Asks a session to stop holding units below an epoch permanently.

    :param session_id: the session that may hold the units.
    :param service: the keyed service.
    :param units: unit ids.
    :param epochs: the floor of each unit, in the order of the units.
    :param control_offset: the requester's offset in ``control``.
    """

    __slots__ = ("session_id", "service", "units", "epochs", "control_offset")
    TAG = 50

    def __init__(
        self,
        *,
        session_id: int,
        service: str,
        units: list[int],
        epochs: list[int],
        control_offset: int,
    ) -> None:
        self.session_id = session_id
        self.service = service
        self.units = units
        self.epochs = epochs
        self.control_offset = control_offset
