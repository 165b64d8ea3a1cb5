"""Unreliable messages between daemons, sent as UDP datagrams."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import msgpack
from loguru import logger

from burdockgap.resources.byte_counter import ByteCounter

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

BEACON = 1
REPORT = 2
LEASE = 3
SUSPECTS = 4
CHANGES = 5
QUOTA_ASK = 6
"""Ask a holder for tokens of an account."""
QUOTA_GRANT = 7
"""The tokens that a holder grants."""
QUOTA_POOL = 8
"""Tokens of accounts for a holder."""
CLAIM_QUESTION = 9
"""Ask a voter whether it misses the coordinator."""
CLAIM_SUPPORT = 10
"""The voter's answer if it does."""
KIND_NAMES = {
    BEACON: "beacon",
    REPORT: "report",
    LEASE: "lease",
    SUSPECTS: "suspects",
    CHANGES: "changes",
    QUOTA_ASK: "quota_ask",
    QUOTA_GRANT: "quota_grant",
    QUOTA_POOL: "quota_pool",
    CLAIM_QUESTION: "claim_question",
    CLAIM_SUPPORT: "claim_support",
}


class Datagrams(asyncio.DatagramProtocol):
    """
    Sends and receives small messages that may be lost.

    :ivar handlers: callback for the values of a message, by its kind.
    :ivar bad: number of malformed datagrams received.
    :ivar counter: counts the bytes of all kinds.
    :ivar sent_bytes: bytes of payload sent so far, by kind.
    """

    __slots__ = ("_transport", "bad", "counter", "handlers", "sent_bytes")

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None
        self.handlers: dict[int, Callable[[list[Any]], None]] = {}
        self.bad = 0
        self.counter = ByteCounter()
        self.sent_bytes = dict.fromkeys(KIND_NAMES, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ARG002
        """Pass a message to the handler of its kind."""
        self.counter.received += len(data)
        try:
            kind, *values = msgpack.unpackb(data)
            self.handlers[kind](values)
        except Exception as exc:
            # Any process may send to this port; what a handler raises
            # for values of an unexpected type must not spread.
            if not self.bad:
                logger.warning("ignored a malformed datagram: {!r}", exc)
            self.bad += 1

    def send(self, address: tuple[str, int], kind: int, *values: Any) -> None:
        """Send a message without delivery guarantee."""
        if self._transport is not None:
            data = msgpack.packb([kind, *values])
            self.sent_bytes[kind] += len(data)
            self.counter.sent += len(data)
            self._transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams; peers may be down."""


@asynccontextmanager
async def open_datagrams(host: str, port: int) -> AsyncIterator[Datagrams]:
    """Keep a datagram socket bound until the context exits."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        Datagrams, local_addr=(host, port)
    )
    try:
        yield protocol
    finally:
        transport.close()
