"""The units of one keyed service in a snapshot."""

from __future__ import annotations

from burdockgap.wire.message import Message


class TableEntry(Message):
    """
    A unit table; lists with the same prefix are parallel.

    :param service: the keyed service.
    :param slices: number of slices.
    :param owners: owner of each slice, 8 bytes little-endian each.
    :param epochs: epoch of each slice, 8 bytes little-endian each.
    :param pin_units: pinned units.
    :param pin_owners: their owners.
    :param pin_epochs: their epochs.
    :param earlier_units: units with earlier holders.
    :param earlier_holders: the holders of each.
    """

    __slots__ = (
        "service",
        "slices",
        "owners",
        "epochs",
        "pin_units",
        "pin_owners",
        "pin_epochs",
        "earlier_units",
        "earlier_holders",
    )
    TAG = 42

    def __init__(
        self,
        *,
        service: str,
        slices: int,
        owners: bytes,
        epochs: bytes,
        pin_units: list[int],
        pin_owners: list[int],
        pin_epochs: list[int],
        earlier_units: list[int],
        earlier_holders: list[list[int]],
    ) -> None:
        self.service = service
        self.slices = slices
        self.owners = owners
        self.epochs = epochs
        self.pin_units = pin_units
        self.pin_owners = pin_owners
        self.pin_epochs = pin_epochs
        self.earlier_units = earlier_units
        self.earlier_holders = earlier_holders
