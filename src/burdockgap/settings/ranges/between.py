"""Intervals of numbers."""

from __future__ import annotations


class Between:
    """
    Numbers from ``low`` to ``high``, both included.

    :param low: the smallest number.
    :param high: the largest number.
    """

    __slots__ = ("high", "low")

    def __init__(self, low: float, high: float) -> None:
        self.low = low
        self.high = high
