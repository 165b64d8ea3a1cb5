"""The error raised for a call to a peer that got no reply."""

from __future__ import annotations


class PeerCallError(Exception):
    """
    A call to a peer failed without a reply.

    :param detail: the cause.
    :param sent: whether the call may have reached the peer.
    :param peer_is_alive: whether the peer replied, but the reply could
        not be received.
    """

    def __init__(
        self, detail: str, *, sent: bool, peer_is_alive: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.peer_is_alive = peer_is_alive
