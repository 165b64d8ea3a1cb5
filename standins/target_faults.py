"""Faults that tests inject into a stand-in target."""

from __future__ import annotations

from typing import Any


class TargetFaults:
    """
    The active faults; a new object has none.

    :ivar slow: factor by which the service time is multiplied.
    :ivar shed: share of requests rejected as not run, 0 to 1.
    :ivar lie_load: load to report instead of the real one, ``None`` to
        report the real one.
    :ivar truncate: number of upcoming responses to truncate.
    :ivar hang: whether all work is suspended.
    :ivar lag_s: delay of the reported load, in seconds.
    :ivar ignore_cancel: whether cancelled work continues.
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
        Set faults by name; the others keep their values.

        :raises KeyError: if there is no fault of a given name; the
            faults before it are set.
        """
        for name, value in fields.items():
            if name not in self.__slots__:
                raise KeyError(name)
            setattr(self, name, value)
