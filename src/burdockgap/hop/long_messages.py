"""The long messages of one connection between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.hop.frames import (
    GRANT,
    OFFER,
    PART,
    FrameError,
    encode_frame,
)
from burdockgap.hop.send_credit import SendCredit

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from burdockgap.downlink import Downlink
    from burdockgap.resources.write_gate import WriteGate
    from burdockgap.uplink import Uplink

MAX_SHORT_BYTES = 16 * 1024
"""Messages up to this size are sent without an offer."""


class LongMessages:
    """
    Offers, grants and paces long calls and replies.

    A long message is offered to the receiver, which grants parts of it
    as its link has room, and sent in parts as this machine's link has
    room. Calls and replies share their numbers.

    :param uplink: paces what is sent, ``None`` to send all messages at
        once.
    :param downlink: paces what is received, ``None`` to grant all
        offers at once.
    :param gate: whether the connection has sent what was written.
    :param write: writes a frame to the connection.
    """

    __slots__ = ("_credits", "_downlink", "_gate", "_uplink", "_write")

    def __init__(
        self,
        *,
        uplink: Uplink | None,
        downlink: Downlink | None,
        gate: WriteGate,
        write: Callable[[bytes], None],
    ) -> None:
        self._uplink = uplink
        self._downlink = downlink
        self._gate = gate
        self._write = write
        self._credits: dict[int, SendCredit] = {}

    def needs_offer(self, size: int) -> bool:
        """Return whether a message of some bytes has to be offered."""
        return self._uplink is not None and size > MAX_SHORT_BYTES

    def send_short(self, pieces: Sequence[bytes], size: int) -> None:
        """Send a message that needs no offer."""
        if self._uplink is not None:
            self._uplink.count(size)
        for piece in pieces:
            self._write(piece)

    async def send_long(
        self, call_id: int, pieces: Sequence[bytes], size: int, *details: Any
    ) -> None:
        """
        Offer a message and send it as it is granted.

        Cancelling it leaves the rest unsent.

        :param details: what the offer says besides its number and size.
        """
        assert self._uplink is not None
        self._credits[call_id] = SendCredit()
        self._write(encode_frame(OFFER, call_id, size, *details))
        try:
            await self._send_granted(call_id, pieces, size, self._uplink)
        finally:
            self._credits.pop(call_id, None)

    async def _send_granted(
        self, call_id: int, pieces: Sequence[bytes], size: int, uplink: Uplink
    ) -> None:
        credit = self._credits[call_id]

        def write_part(part: bytes | memoryview) -> None:
            self._write(encode_frame(PART, call_id, part))

        with uplink.queue_message(size) as message:
            for piece in pieces:
                view = memoryview(piece)
                while view:
                    granted = await credit.take(len(view))
                    await uplink.send_piece(
                        message, view[:granted], write_part, self._gate
                    )
                    view = view[granted:]

    def add_grant(self, call_id: int, size: int) -> None:
        """Process a grant for a message that this side offered."""
        credit = self._credits.get(call_id)
        if credit is not None:
            credit.grant(_check_size(size))

    def add_offer(self, call_id: int, size: int, rtt_s: float) -> None:
        """
        Process an offer of the other side.

        :param rtt_s: round-trip time of the connection, in seconds.
        """
        size = _check_size(size)

        def send_grant(granted: int) -> None:
            self._write(encode_frame(GRANT, call_id, granted))

        if self._downlink is None:
            send_grant(size)
        else:
            self._downlink.offer((self, call_id), size, rtt_s, send_grant)

    def note_part(self, call_id: int, size: int) -> None:
        """Note a received part of a message."""
        if self._downlink is not None:
            self._downlink.received((self, call_id), size)

    def end_receiving(self, call_id: int) -> None:
        """Forget the other side's message, complete or not."""
        if self._downlink is not None:
            self._downlink.withdraw((self, call_id))


def _check_size(size: Any) -> int:
    if not isinstance(size, int) or size <= 0:
        raise FrameError(f"size of a long message is invalid: {size!r}")
    return size
