"""Lists of fixed values."""

from __future__ import annotations


class OneOf:
    """
    One of a fixed set of strings.

    :param choices: the strings.
    """

    __slots__ = ("choices",)

    def __init__(self, *choices: str) -> None:
        self.choices = choices
