"""A large message that waits for the machine's link."""

from __future__ import annotations


class QueuedMessage:
    """
    What is unsent of one message.

    :param order: rank of the message; smaller ones are sent first.
    :param size: its size in bytes.
    :ivar unsent: bytes that have not been written yet.
    """

    __slots__ = ("order", "unsent")

    def __init__(self, order: int, size: int) -> None:
        self.order = order
        self.unsent = size
