"""What a target says of itself."""

from __future__ import annotations


class TargetInfo:
    """
    One life of a target.

    :param target_id: its id.
    :param born: when it started, as it says; a later life has a higher
        value, whatever its id.
    :param address: where it takes requests, as host and port.
    :param service: the service that it belongs to.
    :param data_centre: its data centre.
    :param slots: requests that it runs at once.
    :param draining: whether it is about to leave.
    :param cold_s: how much longer it is cold, in seconds.
    :param sequence: rises with each announcement of this life.
    """

    __slots__ = (
        "address",
        "born",
        "cold_s",
        "draining",
        "sequence",
        "service",
        "slots",
        "target_id",
        "data_centre",
    )

    def __init__(
        self,
        *,
        target_id: str,
        born: int,
        address: tuple[str, int],
        service: str,
        data_centre: str,
        slots: int,
        draining: bool,
        cold_s: float,
        sequence: int,
    ) -> None:
        self.target_id = target_id
        self.born = born
        self.address = address
        self.service = service
        self.data_centre = data_centre
        self.slots = slots
        self.draining = draining
        self.cold_s = cold_s
        self.sequence = sequence
