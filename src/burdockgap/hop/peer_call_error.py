"""A call to a peer that brought no reply."""

from __future__ import annotations


class PeerCallError(Exception):
    """
    The peer did not reply.

    :param detail: what happened.
    :param sent: whether the call may have reached the peer.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent
