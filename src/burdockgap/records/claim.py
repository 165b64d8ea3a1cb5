"""A daemon's claim to be coordinator."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Claim(Message):
    """
    A claim; ignored unless ``term`` is the current term plus one.

    :param record_id: unique id of the record.
    :param term: the term that is claimed.
    :param incarnation: id of the claiming daemon's process run.
    :param name: the claiming daemon's name.
    :param peer_address: its ``ip:port`` for peer calls.
    :param at: wall-clock time in seconds.
    """

    __slots__ = (
        "record_id",
        "term",
        "incarnation",
        "name",
        "peer_address",
        "at",
    )
    TAG = 10

    def __init__(
        self,
        *,
        record_id: int,
        term: int,
        incarnation: int,
        name: str,
        peer_address: str,
        at: float,
    ) -> None:
        self.record_id = record_id
        self.term = term
        self.incarnation = incarnation
        self.name = name
        self.peer_address = peer_address
        self.at = at
