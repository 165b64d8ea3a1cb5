"""Free text."""

from __future__ import annotations


class Text:
    """
    Text with a minimum length.

    :param min_length: the minimum number of characters.
    """

    __slots__ = ("min_length",)

    def __init__(self, min_length: int) -> None:
        self.min_length = min_length
