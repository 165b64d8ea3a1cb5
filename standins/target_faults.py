"""Faults that can be set on a stand-in target."""

from __future__ import annotations

from typing import Any


class TargetFaults:
    """
    What goes wrong; all of it is off at the start.

    ``slow`` multiplies the service time, ``shed`` is the share of
    requests that are refused unrun, ``lie_load`` replaces the reported
    load, ``truncate`` counts answers to be cut off, ``hang`` stops all
    work, ``lag_s`` delays what the status reports and
    ``ignore_cancel`` lets cancelled work go on.
    """

    __slots__ = (
        "hang",
        "ignore_cancel",
        "lag_s",
        "lie_load",
        "shed",
        "slow",
        "truncate",
    )

    def __init__(self) -> None:
        self.slow = 1.0
        self.shed = 0.0
        self.lie_load: int | None = None
        self.truncate = 0
        self.hang = False
        self.lag_s = 0.0
        self.ignore_cancel = False

    def update(self, fields: dict[str, Any]) -> None:
        """
        Set the faults that are named.

        :raises KeyError: if a name is unknown.
        """
        for name, value in fields.items():
            if name not in self.__slots__:
                raise KeyError(name)
            setattr(self, name, value)
