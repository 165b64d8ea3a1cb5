"""A validation error of a configuration document."""

from __future__ import annotations


class Problem:
    """
    Describes a key that is unknown or has an invalid value.

    :param key: dotted path of the key, "" for the whole document.
    :param expected: what the parser accepts there.
    :param found: what the document contains, possibly truncated.
    """

    __slots__ = ("expected", "found", "key")

    def __init__(self, *, key: str, expected: str, found: str) -> None:
        self.key = key
        self.expected = expected
        self.found = found

    def __str__(self) -> str:
        where = self.key or "document"
        return f"{where}: expected {self.expected}, found {self.found}"

    def __repr__(self) -> str:
        return f"Problem({self})"
