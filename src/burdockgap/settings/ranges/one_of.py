"""Lists of fixed values."""

from __future__ import annotations


class OneOf:
    """
    Any of a few texts.

    :param choices: the texts.
    """

    __slots__ = ("choices",)

    def __init__(self, *choices: str) -> None:
        self.choices = choices
