"""A query about the health of the coordinator."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Heard(Message):
    """
    Asks whether the coordinator of a term responds and can write.

    :param term: the term.
    :param indirect: whether to ask the coordinator on behalf of the
        asking daemon.
    """

    __slots__ = ("term", "indirect")
    TAG = 72

    def __init__(self, *, term: int, indirect: bool) -> None:
        self.term = term
        self.indirect = indirect
