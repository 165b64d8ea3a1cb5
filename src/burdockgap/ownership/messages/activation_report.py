"""An owner's report of active units to the coordinator."""

from __future__ import annotations

from burdockgap.wire.message import Message


class ActivationReport(Message):
    """
    Units that a session has activated at the epoch of the fold.

    :param session_id: the owner.
    :param service: the keyed service.
    :param units: unit ids.
    :param epochs: the epoch at which each is active.
    """

    __slots__ = ("session_id", "service", "units", "epochs")
    TAG = 52

    def __init__(
        self,
        *,
        session_id: int,
        service: str,
        units: list[int],
        epochs: list[int],
    ) -> None:
        self.session_id = session_id
        self.service = service
        self.units = units
        self.epochs = epochs
