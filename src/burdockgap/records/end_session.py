"""An operator's statement that a session has ended."""

from __future__ import annotations

from burdockgap.wire.message import Message


class EndSession(Message):
    """
    States that a session's process has stopped permanently.

    :param session_id: the session.
    """

    __slots__ = ("session_id",)
    TAG = 34

    def __init__(
        self,
        *,
        session_id: int,
    ) -> None:
        self.session_id = session_id
