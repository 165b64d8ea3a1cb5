"""A target's announcement."""

from __future__ import annotations


class TargetInfo:
    """
    A target process as it announces itself.

    :param target_id: its id.
    :param born: start time of the process by its own account; a later
        process has a higher value, whatever its id.
    :param address: host and port at which it accepts requests.
    :param service: the service that it belongs to.
    :param data_centre: its data centre.
    :param slots: requests that it runs concurrently.
    :param draining: whether it is about to stop.
    :param cold_s: time until its cold start ends, in seconds.
    :param sequence: increases with each announcement of this process.
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
