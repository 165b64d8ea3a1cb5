"""Pacing of what this machine sends over its network link."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager, contextmanager
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from burdockgap.queued_message import QueuedMessage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from burdockgap.resources.write_gate import WriteGate

_MIN_PART_BYTES = 16 * 1024
"""Larger messages are sent in parts, so that a small message waits for
at most one part: 26 ms at 5 Mbit/s."""
_PART_DURATION_S = 0.02
"""Faster links get larger parts, since each part costs CPU time."""
_COUNTED_SHARE = 0.85
"""Share of the link's rate for the bytes counted here; the rest is for
packet headers, datagrams and traffic with the store."""
_MAX_UNSENT_S = 0.005
"""The next part is written when the link needs at most this long to
send the data already written."""


class Uplink:
    """
    Paces large messages so that they do not delay small ones.

    Data written to a socket delays everything written later on any
    connection of the machine. So small messages are written at once and
    only counted, and large ones are written in parts, first in first
    out, no faster than the link can send all of it.

    :param bytes_per_s: the link's rate, in bytes per second.
    :ivar part_bytes: size of the parts; messages up to this size need
        no pacing.
    """

    __slots__ = (
        "_bytes_per_s",
        "_free_at",
        "_is_sending",
        "_loop",
        "_message_count",
        "_queued_bytes",
        "_turn_numbers",
        "_turns",
        "part_bytes",
    )

    def __init__(self, bytes_per_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._bytes_per_s = bytes_per_s * _COUNTED_SHARE
        self._free_at = 0.0
        self._is_sending = False
        self._turns: list[tuple[int, int, asyncio.Future[None]]] = []
        self._turn_numbers = itertools.count()
        self._message_count = 0
        self._queued_bytes = 0
        self.part_bytes = max(
            _MIN_PART_BYTES, int(bytes_per_s * _PART_DURATION_S)
        )

    @property
    def backlog_s(self) -> float:
        """Seconds until all counted and queued bytes have been sent."""
        unsent_s = max(self._free_at - self._loop.time(), 0.0)
        return unsent_s + self._queued_bytes / self._bytes_per_s

    def sending_s(self, size: int) -> float:
        """Return the seconds that the link takes to send some bytes."""
        return size / self._bytes_per_s

    def count(self, size: int) -> None:
        """Account for bytes that are written without pacing."""
        now = self._loop.time()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s

    async def send(
        self,
        data: bytes,
        write: Callable[[bytes | memoryview], None],
        gate: WriteGate | None = None,
    ) -> None:
        """Send a message at once if it is small, else in parts."""
        if len(data) > self.part_bytes:
            await self.send_in_parts(data, write, gate)
        else:
            self.count(len(data))
            write(data)

    async def send_in_parts(
        self,
        data: bytes,
        write: Callable[[bytes | memoryview], None],
        gate: WriteGate | None = None,
    ) -> None:
        """
        Send a large message in parts, each when the link is ready.

        While the connection's peer does not read, others take their
        turn. Cancelling it leaves the rest of the message unsent.

        :param data: the whole message.
        :param write: writes one part to the connection, without
            blocking.
        :param gate: whether the connection has sent what was written,
            ``None`` to write without regard to it.
        """
        with self.queue_message(len(data)) as message:
            await self.send_piece(message, memoryview(data), write, gate)

    @contextmanager
    def queue_message(self, size: int) -> Iterator[QueuedMessage]:
        """Count a message as queued until the context exits."""
        self._message_count += 1
        message = QueuedMessage(self._message_count, size)
        self._queued_bytes += size
        try:
            yield message
        finally:
            self._queued_bytes -= message.unsent

    async def send_piece(
        self,
        message: QueuedMessage,
        view: memoryview,
        write: Callable[[bytes | memoryview], None],
        gate: WriteGate | None = None,
    ) -> None:
        """
        Send a piece of a queued message in parts.

        Pieces of earlier messages go first, also if they become ready
        later. The other parameters are those of :meth:`send_in_parts`.

        :param view: the piece.
        """
        while view:
            if gate is not None:
                await gate.wait()
            async with self._turn(message.order):
                while view and (gate is None or gate.is_open):
                    await self._wait_until_ready()
                    part, view = (
                        view[: self.part_bytes],
                        view[self.part_bytes :],
                    )
                    write(part)
                    self.count(len(part))
                    self._queued_bytes -= len(part)
                    message.unsent -= len(part)

    @asynccontextmanager
    async def _turn(self, order: int) -> AsyncIterator[None]:
        """Wait for those before; keep others waiting until it exits."""
        if self._is_sending:
            turn: asyncio.Future[None] = self._loop.create_future()
            heappush(self._turns, (order, next(self._turn_numbers), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._pass_turn()
                raise
        self._is_sending = True
        try:
            yield
        finally:
            self._pass_turn()

    def _pass_turn(self) -> None:
        while self._turns:
            *_, turn = heappop(self._turns)
            if not turn.done():
                # Nobody else may begin before it does.
                turn.set_result(None)
                return
        self._is_sending = False

    async def _wait_until_ready(self) -> None:
        while True:
            pause_s = self._free_at - self._loop.time() - _MAX_UNSENT_S
            if pause_s <= 0:
                return
            await asyncio.sleep(pause_s)
