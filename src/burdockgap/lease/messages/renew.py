"""A holder's request to renew its lease."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Renew(Message):
    """
    Asks one witness to restart a session's expiry timer.

    :param session_id: the session whose lease is renewed.
    :param witness_incarnation: incarnation of the named witness.
    :param seq: sequence number, higher with each renewal to a witness.
    :param config_offset: the sender's offset in ``config``.
    :param control_offset: the sender's offset in ``control``.
    """

    __slots__ = (
        "session_id",
        "witness_incarnation",
        "seq",
        "config_offset",
        "control_offset",
    )
    TAG = 40

    def __init__(
        self,
        *,
        session_id: int,
        witness_incarnation: int,
        seq: int,
        config_offset: int,
        control_offset: int,
    ) -> None:
        self.session_id = session_id
        self.witness_incarnation = witness_incarnation
        self.seq = seq
        self.config_offset = config_offset
        self.control_offset = control_offset
