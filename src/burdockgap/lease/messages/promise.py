"""A witness's promise never to acknowledge a session again."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Promise(Message):
    """
    States that a session's lease has expired at one witness.

    The expiry is permanent: the witness acknowledges no later renewal.

    :param session_id: the expired session.
    :param witness_incarnation: the named witness that it counts for.
    """

    __slots__ = (
        "session_id",
        "witness_incarnation",
    )
    TAG = 42

    def __init__(self, *, session_id: int, witness_incarnation: int) -> None:
        self.session_id = session_id
        self.witness_incarnation = witness_incarnation
