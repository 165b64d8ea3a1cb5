"""A daemon's request to give up a session."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Leave(Message):
    """
    Asks the coordinator to move units away or to end a session.

    :param session_id: the session.
    :param final: whether the session owns no units any more and is to
        be ended.
    """

    __slots__ = (
        "session_id",
        "final",
    )
    TAG = 68

    def __init__(
        self,
        *,
        session_id: int,
        final: bool,
    ) -> None:
        self.session_id = session_id
        self.final = final
