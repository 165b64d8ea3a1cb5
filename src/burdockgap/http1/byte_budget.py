"""A limit on the bytes that a process buffers."""

from __future__ import annotations


class ByteBudget:
    """
    Bounds what all connections of a process buffer together.

    :param max_bytes: bytes that may be in use at once.
    :ivar used: bytes in use.
    """

    __slots__ = ("max_bytes", "used")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0

    def take(self, size: int) -> bool:
        """Reserve bytes; return whether that many were free."""
        if self.used + size > self.max_bytes:
            return False
        self.used += size
        return True

    def give_back(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.used -= size
