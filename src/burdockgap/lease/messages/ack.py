"""A witness's acknowledgement of a renewal."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Ack(Message):
    """
    Confirms that a witness restarted a session's timer on a renewal.

    :param session_id: the renewed session.
    :param witness_incarnation: incarnation of the answering witness.
    :param seq: sequence number of the acknowledged renewal.
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
    TAG = 41

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
