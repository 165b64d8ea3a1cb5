"""A holder's request to renew its lease."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Renew(Message):
    """
    Asks one witness to go on timing a session.

    :param session_id: the session that is renewed.
    :param witness_incarnation: the witness that the session names.
    :param seq: rises with each renewal to this witness.
    :param config_offset: the sender's offset of ``config``.
    :param control_offset: the sender's offset of ``control``.
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
