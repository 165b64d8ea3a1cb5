"""Count of the bytes of one kind of traffic."""

from __future__ import annotations


class ByteCounter:
    """
    Bytes that crossed the machine's network link.

    :ivar abandoned: bytes of calls that ended without a reply, also
        if not all of them were sent.
    :ivar received: bytes of payload received so far.
    :ivar sent: bytes of payload passed to sockets so far.
    """

    __slots__ = ("abandoned", "received", "sent")

    def __init__(self) -> None:
        self.abandoned = 0
        self.received = 0
        self.sent = 0
