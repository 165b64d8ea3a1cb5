"""A daemon's datagram socket for the lease protocol."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, cast

from burdockgap.lease.counters import BYTES, DATAGRAMS, IGNORED
from burdockgap.lease.dispatch import KINDS, handle
from burdockgap.wire import DecodeError, pack, unpack

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockgap.lease.datagram_receivers import DatagramReceivers
    from burdockgap.wire import Message
    from burdockgap.wire.seal import Sealer

_PORT_LIMIT = 65536


class LeaseSocket(asyncio.DatagramProtocol):
    """
    Seals, sends, opens and dispatches lease datagrams.

    :param sealer: authenticates datagrams with the cluster's secret.
    :ivar parties: the receivers; datagrams are dropped until it is set.
    """

    __slots__ = ("_sealer", "_transport", "parties")

    def __init__(self, sealer: Sealer) -> None:
        self._sealer = sealer
        self._transport: asyncio.DatagramTransport | None = None
        self.parties: DatagramReceivers | None = None

    @property
    def address(self) -> str:
        """The ``ip:port`` that the socket is bound to."""
        if self._transport is None:
            return ""
        return _format_address(self._transport.get_extra_info("sockname"))

    def send(self, msg: Message, address: str) -> None:
        """
        Send a message without waiting; the datagram may be lost.

        Nothing is sent if the socket is closed or the address invalid.

        :param address: the receiver's ``ip:port``.
        """
        if self._transport is None or self._transport.is_closing():
            return
        receiver = _parse_address(address)
        if receiver is None:
            IGNORED.labels("send-address").inc()
            return
        datagram = self._sealer.seal(pack(msg))
        DATAGRAMS.labels("sent", type(msg).__name__).inc()
        BYTES.labels("sent").inc(len(datagram))
        self._transport.sendto(datagram, receiver)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Open and dispatch a datagram; called by the event loop."""
        BYTES.labels("received").inc(len(data))
        msg = self._decode(data)
        if msg is None or self.parties is None:
            return
        DATAGRAMS.labels("received", type(msg).__name__).inc()
        source = _format_address(addr)
        answer = handle(msg, self.parties, source)
        if answer is not None:
            self.send(answer, source)

    def error_received(self, exc: Exception) -> None:
        """Count a failed delivery; called by the event loop."""
        del exc
        IGNORED.labels("unreachable").inc()

    def _decode(self, data: bytes) -> Message | None:
        payload = self._sealer.open(data)
        if payload is None:
            IGNORED.labels("seal").inc()
            return None
        try:
            return unpack(payload, KINDS)
        except DecodeError:
            IGNORED.labels("decode").inc()
            return None


@asynccontextmanager
async def open_lease_socket(
    sealer: Sealer, *, host: str, port: int
) -> AsyncIterator[LeaseSocket]:
    """
    Bind the datagram socket until the context exits.

    :param sealer: authenticates datagrams with the cluster's secret.
    :param host: the address to bind.
    :param port: the port, 0 to let the kernel choose.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        lambda: LeaseSocket(sealer), local_addr=(host, port)
    )
    try:
        yield protocol
    finally:
        transport.close()


def _format_address(sockname: tuple[Any, ...]) -> str:
    host, port = sockname[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _parse_address(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) >= _PORT_LIMIT:
        return None
    return host.strip("[]"), int(port)
