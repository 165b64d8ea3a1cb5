"""A reference to a witness of a session."""

from __future__ import annotations

from burdockgap.wire.message import Message


class WitnessRef(Message):
    """
    One witness of a session.

    :param incarnation: id of the witness's process run.
    :param address: its ``ip:port`` for datagrams and peer calls.
    """

    __slots__ = ("incarnation", "address")
    TAG = 1

    def __init__(self, *, incarnation: int, address: str) -> None:
        self.incarnation = incarnation
        self.address = address
