"""Upload of a request's body to a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from grpclib.exceptions import ProtocolError

from burdockgap.peer.cancel_count import restored_cancel_count
from burdockgap.peer.messages.body_part import BodyPart
from burdockgap.peer.pool import PEER_ERRORS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Upload:
    """
    Sends a body while another task waits for the reply.

    :param stream: the gRPC stream.
    :param body: the parts as the caller sends them.
    :ivar failed: whether the body ended early.
    :ivar scope: cancelled if the body ended early.
    """

    __slots__ = ("_body", "_stream", "failed", "scope")

    def __init__(self, stream: Any, body: AsyncIterator[bytes]) -> None:
        self._stream = stream
        self._body = body
        self.failed = False
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Send the body and end the sending side of the stream."""
        try:
            async for data in self._body:
                with restored_cancel_count():
                    await self._stream.send_message(BodyPart(data=data))
            with restored_cancel_count():
                await self._stream.end()
        except (*PEER_ERRORS, ProtocolError):
            # The task that waits for the reply sees the stream's end.
            return
        except Exception:
            self.failed = True
            self.scope.cancel()
