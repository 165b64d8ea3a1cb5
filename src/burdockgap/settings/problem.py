"""One problem of a settings file."""

from __future__ import annotations


class Problem:
    """
    An invalid or missing setting, and what is expected instead.

    :param path: the settings file.
    :param where: the place in the file, as ``section.key``, or "".
    :param text: what is wrong and what to write instead.
    """

    __slots__ = ("path", "text", "where")

    def __init__(self, *, path: str, where: str, text: str) -> None:
        self.path = path
        self.where = where
        self.text = text

    def __str__(self) -> str:
        place = f"{self.path}: {self.where}" if self.where else self.path
        return f"{place}: {self.text}"

    def __repr__(self) -> str:
        return f"Problem({str(self)!r})"
