"""The base class of all messages."""

from __future__ import annotations

from typing import Any, ClassVar


class Message:
    """
    A class with ``__slots__`` that the codec can encode.

    A subclass sets ``TAG``, lists its fields in ``__slots__`` and takes
    each of them, in that order, as an annotated keyword argument of
    ``__init__``. Fields may be appended with a default; none may be
    removed or moved, since old records stay in the log.
    """

    __slots__: ClassVar[tuple[str, ...]] = ()

    TAG: ClassVar[int] = 0

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.values() == other.values()

    def __hash__(self) -> int:
        return hash((type(self), repr(self.values())))

    def __repr__(self) -> str:
        fields = ", ".join(
            f"{name}={getattr(self, name)!r}" for name in self.__slots__
        )
        return f"{type(self).__name__}({fields})"

    def values(self) -> list[Any]:
        """Return the field values in the order of ``__slots__``."""
        return [getattr(self, name) for name in self.__slots__]
